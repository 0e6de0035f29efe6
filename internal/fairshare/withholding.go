package fairshare

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// withheldMachines tracks the machines whose free resources are withheld from teams that exceed their share. A machine
// goes through three states. A call of withhold after the timeout opens the machine; if forget is called first, it only ends
// the withholding:
//
//	open to every team -- withhold --> withheld -- timeout --> open until openFor has passed
//	        ^                              |                              |
//	        +---- release (a grant) -------+                              |
//	        +-------------------------------------------------------------+
type withheldMachines struct {
	timeout  clock.Micros            // how long a machine is withheld
	openFor  clock.Micros            // how long a machine is open to every team after a withholding timed out
	withheld map[string]withholding  // by machine
	open     map[string]clock.Micros // until when a machine is open after a withholding timed out, by machine
}

// withholding is the team in whose favour a machine is withheld, and the time at which that began.
type withholding struct {
	team  string
	since clock.Micros
}

func newWithheldMachines(timeout, openFor clock.Micros) *withheldMachines {
	return &withheldMachines{
		timeout:  timeout,
		openFor:  openFor,
		withheld: map[string]withholding{},
		open:     map[string]clock.Micros{},
	}
}

// isOpen reports whether a machine is open to every team at present, since a withholding of it timed out.
func (w *withheldMachines) isOpen(machine string, now clock.Micros) bool {
	return now < w.open[machine]
}

// withhold withholds a machine in favour of a team, unless the machine is withheld already. It returns true while the
// withholding lasts. After the timeout it opens the machine to every team and returns false.
func (w *withheldMachines) withhold(machine, team string, now clock.Micros) bool {
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

// release ends the withholding of a machine without opening the machine to every team.
func (w *withheldMachines) release(machine string) { delete(w.withheld, machine) }

// machines returns the number of machines that are withheld in favour of a team, not counting the machine except.
func (w *withheldMachines) machines(team, except string) int {
	count := 0
	for machine, current := range w.withheld {
		if current.team == team && machine != except {
			count++
		}
	}
	return count
}

// forget drops withholdings and openings that have ended. A withholding that it drops does not open its machine.
func (w *withheldMachines) forget(now clock.Micros) {
	maps.DeleteFunc(w.open, func(_ string, until clock.Micros) bool { return now >= until })
	maps.DeleteFunc(w.withheld, func(_ string, current withholding) bool { return now >= current.since+w.timeout })
}
