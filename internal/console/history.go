package console

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// historyPage is how many events are read at a time, so that a page is sent and read well within the time of
// a call.
const historyPage = 2000

// ExportHistory gathers the history of all controllers that answer into one Parquet file, in the order of
// the times of day that they noted.
func ExportHistory(out io.Writer, controllers []Controller, path string) error {
	var events []history.Event
	var missing []string
	reached := 0
	for _, c := range controllers {
		own, lost, err := fetchHistory(c)
		if err != nil {
			missing = append(missing, c.Host)
			continue
		}
		reached++
		events = append(events, own...)
		if lost > 0 {
			fmt.Fprintf(out, "%s keeps its latest %d events; %d earlier ones are gone\n", c.Host, len(own), lost)
		}
	}
	if reached == 0 {
		return ErrUnreachable
	}
	slices.SortStableFunc(events, func(a, b history.Event) int { return cmp.Compare(a.AtMS, b.AtMS) })
	if err := history.Write(path, events); err != nil {
		return err
	}
	fmt.Fprintf(out, "%d events of %d controllers are in %s\n", len(events), reached, path)
	writeMissing(out, missing, "; what they have seen is left out")
	return nil
}

// fetchHistory reads a controller's history page by page; lost is how many events it had to forget.
func fetchHistory(c Controller) (events []history.Event, lost uint64, err error) {
	in := peer.HistoryRequest{Most: historyPage}
	for {
		var page history.Page
		if err := c.Call("History", in, &page, callTimeout); err != nil {
			return nil, 0, err
		}
		events = append(events, page.Events...)
		lost += page.Lost
		if !page.More || page.Next <= in.From {
			return events, lost, nil
		}
		in.From = page.Next
	}
}

// ViolationsError is how many violations of the rules a history shows.
type ViolationsError int

// Error says how many there are.
func (e ViolationsError) Error() string { return fmt.Sprintf("%d rules are broken", int(e)) }

// CheckHistory checks the rules against an exported file: no task on two machines, no job with two final
// states. skewMS is by how many milliseconds the controllers' clocks may differ. It writes the violations and fails
// with ViolationsError where there are any.
func CheckHistory(out io.Writer, path string, skewMS int64) error {
	events, err := history.Read(path)
	if err != nil {
		return err
	}
	violations := history.Check(events, skewMS)
	for _, v := range violations {
		fmt.Fprintln(out, v)
	}
	if len(violations) > 0 {
		return ViolationsError(len(violations))
	}
	fmt.Fprintf(out, "%d events: no task on two machines, no job with two ends\n", len(events))
	return nil
}
