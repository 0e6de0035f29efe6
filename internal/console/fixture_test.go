package console

import (
	"time"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// responder handles a call of one method: it takes the request from in and stores the response in out.
type responder func(in, out any)

// controllerStub returns a controller that answers the methods in responders. Calls of any other method fail
// with peer.ErrUnavailable.
func controllerStub(host string, responders map[string]responder) Controller {
	return Controller{host, func(method string, in, out any, _ time.Duration) error {
		respond, ok := responders[method]
		if !ok {
			return peer.ErrUnavailable
		}
		respond(in, out)
		return nil
	}}
}

// controllerDown returns a controller that is unreachable.
func controllerDown(host string) Controller { return controllerStub(host, nil) }

// controllerWith returns a controller that answers every call of one method with the same response.
func controllerWith[Out any](host, method string, response Out) Controller {
	return controllerStub(host, map[string]responder{method: func(_, out any) { *out.(*Out) = response }})
}

func settingsOfTeams(names ...string) *config.Settings {
	s := &config.Settings{}
	for _, name := range names {
		s.Params.Teams = append(s.Params.Teams, config.Team{Name: name})
	}
	return s
}

func settingsOfZone(name string) *config.Settings {
	s := &config.Settings{}
	s.Params.Zones = []string{name}
	return s
}
