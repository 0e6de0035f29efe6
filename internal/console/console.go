// Package console implements the operators' commands: it calls the controllers over their cluster ports and
// formats the responses.
//
// Teams (teams.go) and Zones (zones.go) print the state that the reachable controllers report. HoldZone holds
// or resumes the staged return of work to a zone. ExportHistory and CheckHistory (history.go) collect the
// controllers' events and check them for violations of the invariants. Teams, Zones and ExportHistory
// name the controllers that do not answer in their output, and still succeed as long as one answers. Operators and their scripts
// depend on the output, so golden tests fix its text.
package console

import (
	"errors"
	"fmt"
	"io"
	"strings"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// ErrUnreachable means that none of the controllers answered.
var ErrUnreachable = errors.New("no controller can be reached")

// UnknownError means that the settings contain no team or zone with the name that the operator gave.
type UnknownError struct{ Kind, Name string }

// Error names the team or zone that the settings lack.
func (e UnknownError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// callTimeout is how long a command waits for a controller's response. A busy controller answers within it, and
// an operator does not wait long for a controller that is down.
const callTimeout = 3 * time.Second

// Controller is one controller that a command can call. Call behaves as peer.Client.Call does.
type Controller struct {
	Host string
	Call func(method string, in, out any, timeout time.Duration) error
}

// Controllers returns all controllers that the settings name, beginning with the one that the settings belong to.
// It opens no connection; the first call to a controller does.
func Controllers(settings *config.Settings) []Controller {
	out := []Controller{{settings.Host, peer.NewClient(settings.PeerListen, nil).Call}}
	for _, p := range settings.Peers {
		out = append(out, Controller{p.Host, peer.NewClient(p.Addr, nil).Call})
	}
	return out
}

// callAll calls a method of all controllers concurrently. It returns the responses in the order of the
// controllers, and the hosts of the controllers whose call failed. It fails with ErrUnreachable when all calls
// failed.
func callAll[Out any](controllers []Controller, method string, in any) (responses []Out, missing []string, err error) {
	type result struct {
		out Out
		err error
	}
	results := make([]chan result, len(controllers))
	for i, c := range controllers {
		results[i] = make(chan result, 1)
		go func() {
			var r result
			r.err = c.Call(method, in, &r.out, callTimeout)
			results[i] <- r
		}()
	}
	for i, c := range controllers {
		r := <-results[i]
		if r.err != nil {
			missing = append(missing, c.Host)
			continue
		}
		responses = append(responses, r.out)
	}
	if len(responses) == 0 {
		return nil, missing, ErrUnreachable
	}
	return responses, missing, nil
}

// writeMissing prints the controllers that did not answer, if any. The consequence follows their names and says
// what the output lacks without them.
func writeMissing(out io.Writer, missing []string, consequence string) {
	if len(missing) > 0 {
		fmt.Fprintf(out, "not reached: %s%s\n", strings.Join(missing, ", "), consequence)
	}
}

// orDash returns a table cell's text, or "-" if it is empty.
func orDash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}
