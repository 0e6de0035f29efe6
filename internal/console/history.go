package console

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/history"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// historyPage is how many events are asked for at a time.
const historyPage = 2000

// ExportHistory gathers the history of all controllers that are reached into one file.
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
	if len(missing) > 0 {
		fmt.Fprintf(out, "not reached: %s; what they have seen is left out\n", strings.Join(missing, ", "))
	}
	return nil
}

// fetchHistory reads a controller's history, page by page.
func fetchHistory(c Controller) (events []history.Event, lost uint64, err error) {
	for in := (peer.HistoryRequest{Most: historyPage}); ; {
		var p history.Page
		if err := c.Call("History", in, &p, callTimeout); err != nil {
			return nil, 0, err
		}
		events, lost = append(events, p.Events...), lost+p.Lost
		if !p.More || p.Next <= in.From {
			return events, lost, nil
		}
		in.From = p.Next
	}
}

// ViolationsError tells how many rules a history breaks.
type ViolationsError int

// Error tells the number.
func (e ViolationsError) Error() string { return fmt.Sprintf("%d rules are broken", int(e)) }

// CheckHistory holds the rules against a file that was exported.
func CheckHistory(out io.Writer, path string, skewMS int64) error {
	events, err := history.Read(path)
	if err != nil {
		return err
	}
	broken := history.Check(events, skewMS)
	for _, v := range broken {
		fmt.Fprintln(out, v)
	}
	if len(broken) > 0 {
		return ViolationsError(len(broken))
	}
	fmt.Fprintf(out, "%d events: no task on two machines, no job with two ends\n", len(events))
	return nil
}
