package fairshare

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// withholdings are the machines whose free resources are withheld from teams that exceed their share. A
// machine goes through three states:
//
//	open to every team -- withhold --> withheld -- timeout --> open until openFor has passed
//	        ^                              |                              |
//	        +---- release (a grant) -------+                              |
//	        +-------------------------------------------------------------+
type withholdings struct {
	timeout  clock.Micros // for how long a machine is withheld
	openFor  clock.Micros // for how long it is open after it was withheld in vain
	withheld map[string]withholding
	open     map[string]clock.Micros // until when a machine is open, by machine that was withheld in vain
}

// withholding is that a machine is withheld in favour of a team.
type withholding struct {
	team  string
	since clock.Micros
}

func newWithholdings(timeout, openFor clock.Micros) *withholdings {
	return &withholdings{
		timeout:  timeout,
		openFor:  openFor,
		withheld: map[string]withholding{},
		open:     map[string]clock.Micros{},
	}
}

// isOpen reports whether a machine was withheld in vain and is open to every team for now.
func (w *withholdings) isOpen(machine string, now clock.Micros) bool { return now < w.open[machine] }

// withhold withholds a machine in favour of a team, unless it is withheld already; false once that has
// lasted for the timeout: the machine is open then.
func (w *withholdings) withhold(machine, team string, now clock.Micros) bool {
	current, ok := w.withheld[machine]
	if !ok {
		current = withholding{team, now}
		w.withheld[machine] = current
	}
	if now >= current.since+w.timeout {
		delete(w.withheld, machine)
		w.open[machine] = now + w.openFor
		return false
	}
	return true
}

// release ends the withholding of a machine.
func (w *withholdings) release(machine string) { delete(w.withheld, machine) }

// machines counts the machines that are withheld in favour of a team, one left out.
func (w *withholdings) machines(team, except string) int {
	count := 0
	for machine, current := range w.withheld {
		if current.team == team && machine != except {
			count++
		}
	}
	return count
}

// forget drops what is over.
func (w *withholdings) forget(now clock.Micros) {
	maps.DeleteFunc(w.open, func(_ string, until clock.Micros) bool { return now >= until })
	maps.DeleteFunc(w.withheld, func(_ string, current withholding) bool { return now >= current.since+w.timeout })
}
