package console

import (
	"time"

	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// responder writes the response of one method.
type responder func(in, out any)

// controllerStub is a controller that answers by method; for all other methods it can't be reached.
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

// controllerDown is a controller that can't be reached.
func controllerDown(host string) Controller { return controllerStub(host, nil) }

// controllerWith is a controller that answers one method with one response.
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
