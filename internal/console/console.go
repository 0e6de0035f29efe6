// Package console carries out the operators' commands: what they ask of the controllers over their
// cluster ports, and how the responses are written.
//
// Teams (teams.go) and Zones (zones.go) show the state as all controllers that answer know it, HoldZone
// stops and resumes the return of a zone, ExportHistory and CheckHistory (history.go) gather and check what
// the controllers have seen. A controller that does not answer is named in the output; only when none
// does a command fail. The output is part of the interface to operators and kept by golden tests.
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

// ErrUnreachable means that no controller has answered.
var ErrUnreachable = errors.New("no controller can be reached")

// UnknownError means that the settings have no team or zone of the name that the operator gave.
type UnknownError struct{ Kind, Name string }

// Error says what is not known.
func (e UnknownError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// callTimeout bounds how long a command waits for a controller: long enough for a busy one to answer, and
// short enough for an operator when one is down.
const callTimeout = 3 * time.Second

// Controller is the connection to one controller. Call has the contract of peer.Client.Call.
type Controller struct {
	Host string
	Call func(method string, in, out any, timeout time.Duration) error
}

// Controllers returns all controllers that the settings name, this one's first. Nothing is dialled yet.
func Controllers(set *config.Settings) []Controller {
	out := []Controller{{set.Host, peer.NewClient(set.PeerListen, nil).Call}}
	for _, p := range set.Peers {
		out = append(out, Controller{p.Host, peer.NewClient(p.Addr, nil).Call})
	}
	return out
}

// callAll calls a method of all controllers concurrently, and gives the responses in the
// controllers' order with the hosts of those that gave none. It fails with ErrUnreachable when none has
// answered.
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

// writeMissing names the controllers that have not answered, if any, with what that means for the output.
func writeMissing(out io.Writer, missing []string, consequence string) {
	if len(missing) > 0 {
		fmt.Fprintf(out, "not reached: %s%s\n", strings.Join(missing, ", "), consequence)
	}
}

// orDash returns "-" for an empty cell of a table.
func orDash(cell string) string {
	if cell == "" {
		return "-"
	}
	return cell
}
