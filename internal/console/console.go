// Package console holds the operators' commands: what they ask of the controllers over their
// cluster ports, and how the answers are told.
package console

import (
	"errors"
	"fmt"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// ErrUnreachable means that no controller has answered.
var ErrUnreachable = errors.New("no controller can be reached")

// UnknownError means that there is no such thing as the operator named.
type UnknownError struct{ Kind, Name string }

// Error tells what is not known.
func (e UnknownError) Error() string { return fmt.Sprintf("there is no %s %q", e.Kind, e.Name) }

// callTimeout bounds how long a controller is waited for.
const callTimeout = 3 * time.Second

// Controller is the way to one controller.
type Controller struct {
	Host string
	Call func(method string, in, out any, timeout time.Duration) error
}

// Controllers gives the ways to all controllers that the settings name, this one's first.
func Controllers(set *config.Settings) []Controller {
	out := []Controller{{set.Host, peer.NewClient(set.PeerListen, nil).Call}}
	for _, p := range set.Peers {
		out = append(out, Controller{p.Host, peer.NewClient(p.Addr, nil).Call})
	}
	return out
}

// callAll calls a method of all controllers, side by side, and gives the answers in the
// controllers' order with the names of those that gave none.
func callAll[Out any](controllers []Controller, method string, in any) (answers []Out, missing []string, err error) {
	type reply struct {
		out Out
		err error
	}
	replies := make([]chan reply, len(controllers))
	for i, c := range controllers {
		replies[i] = make(chan reply, 1)
		go func() {
			var r reply
			r.err = c.Call(method, in, &r.out, callTimeout)
			replies[i] <- r
		}()
	}
	for i, c := range controllers {
		r := <-replies[i]
		if r.err != nil {
			missing = append(missing, c.Host)
			continue
		}
		answers = append(answers, r.out)
	}
	if len(answers) == 0 {
		return nil, missing, ErrUnreachable
	}
	return answers, missing, nil
}
