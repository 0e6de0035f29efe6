// Package placement weighs machines for a task: how many seconds later it starts or ends
// there than it would on the best machine there could be. It is plain code; who places
// looks the facts up and takes the cheapest machine.
package placement

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Task is what matters of a task.
type Task struct {
	Estimate clock.Micros // of its run
	Fetch    clock.Micros // of its image, by a machine that fetches nothing else; 0: not known
}

// Machine is what matters of a machine that has room for the task.
type Machine struct {
	HasImage  bool
	Fetching  bool    // it fetches the task's image already
	Others    int     // other images that it fetches now
	Pace      float64 // how long tasks take here against elsewhere; 0: not known
	InUse     float64 // share of the machine that is in use with the task on it
	PricePart float64 // its price against the dearest kind's; 0: not known
}

// Weights is the operators' trade between the parts of the cost.
type Weights struct {
	Data  float64 // of seconds spent on images: 0 ignores where they are
	Even  float64 // seconds that a full machine costs more than an empty one
	Price float64 // seconds that a machine of the dearest kind costs more than one for nothing
}

// remainingFetchShare is the part of a fetch that is left on average of one that has begun.
const remainingFetchShare = 0.5

// Known tells whether enough is known of the data to weigh machines for a task at all.
func (t *Task) Known() bool { return t.Fetch > 0 }

// Cost is by how many seconds a task is later on a machine, and what else speaks against it
// in seconds. Images that are fetched side by side share the machine's rate.
func Cost(t *Task, m *Machine, w *Weights) float64 {
	cost := 0.0
	if !m.HasImage {
		fetch := t.Fetch.Seconds() * float64(1+m.Others)
		if m.Fetching {
			fetch *= remainingFetchShare
		}
		cost += w.Data * fetch
	}
	if m.Pace > 0 {
		cost += (m.Pace - 1) * t.Estimate.Seconds()
	}
	return cost + w.Even*m.InUse + w.Price*m.PricePart
}

// Tie is the difference in cost below which machines count as equally good: estimates are
// not better than that, and other reasons decide.
const Tie = 0.5

// WaitFor tells for how long room that costs so much should be left, since a machine that has
// the image may have room before: no longer than the fetch would take, and no longer than
// the bound.
func WaitFor(t *Task, w *Weights, bound clock.Micros) clock.Micros {
	return min(clock.FromSeconds(t.Fetch.Seconds()*w.Data), bound)
}
