package console

import (
	"cmp"
	"fmt"
	"io"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// historyPageSize is how many events a call requests at most, so that the controller can send a page well within
// callTimeout.
const historyPageSize = 2000

// ExportHistory writes the events of all controllers that answer to one Parquet file, sorted by the wall-clock
// time that each controller recorded.
func ExportHistory(out io.Writer, controllers []Controller, path string) error {
	var events []history.Event
	var missing []string
	reached := 0
	for _, c := range controllers {
		fetched, lost, err := fetchHistory(c)
		if err != nil {
			missing = append(missing, c.Host)
			continue
		}
		reached++
		events = append(events, fetched...)
		if lost > 0 {
			fmt.Fprintf(out, "%s keeps its latest %d events; %d earlier ones are gone\n", c.Host, len(fetched), lost)
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

// fetchHistory reads a controller's history page by page. It returns in lost how many older events the
// controller's bounded history no longer holds.
func fetchHistory(c Controller) (events []history.Event, lost uint64, err error) {
	in := peer.HistoryRequest{Most: historyPageSize}
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

// ViolationsError is the number of violations that CheckHistory found.
type ViolationsError int

// Error states the number of violations.
func (e ViolationsError) Error() string { return fmt.Sprintf("%d rules are broken", int(e)) }

// CheckHistory checks two invariants on an exported history: no task runs on two machines at a time, and no job
// has two final states. It prints the violations, and fails with ViolationsError if there are any. skewMS is by
// how many milliseconds the controllers' clocks may differ.
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
