// Package placement estimates the cost of placing a task on a machine: by how many seconds it starts or ends
// later than on an ideal machine. It is a pure function of Task, Machine and Weights; the scheduler collects
// these and takes the cheapest machine.
package placement

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Task is what the cost takes into account of a task.
type Task struct {
	Estimate clock.Micros // of its run time
	Fetch    clock.Micros // of its image, by a machine that fetches nothing else; 0: not known
}

// Machine is what the cost takes into account of a machine that the task fits.
type Machine struct {
	HasImage  bool
	Fetching  bool    // it fetches the task's image already
	Others    int     // other images that it fetches now
	Pace      float64 // run times on the machine relative to those elsewhere; 0: not known
	InUse     float64 // share of the machine that is in use with the task on it
	PricePart float64 // its price relative to the most expensive kind's; 0: not known
}

// Weights are the operators' weights of the parts of the cost.
type Weights struct {
	Data  float64 // of seconds spent on images: 0 ignores where they are
	Even  float64 // seconds that a full machine costs more than an empty one
	Price float64 // seconds that a machine of the most expensive kind costs more than a free one
}

// remainingFetchShare is the part of a fetch in progress that is left on average.
const remainingFetchShare = 0.5

// Known reports whether enough is known of the image to estimate costs at all.
func (t *Task) Known() bool { return t.Fetch > 0 }

// Cost is the cost of a machine in seconds: the time to fetch the image, the time by which a slow machine delays
// the task, and the operators' weights of utilization and price. Images that are fetched concurrently share the
// machine's rate.
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

// Tie is the difference in cost, in seconds, below which machines count as equally good: estimates are not more
// accurate than that, and other reasons decide.
const Tie = 0.5

// WaitFor is for how long a task should wait for a machine that has its image: no longer than the fetch would
// take, by the weight of data, and no longer than the bound.
func WaitFor(t *Task, w *Weights, bound clock.Micros) clock.Micros {
	return min(clock.FromSeconds(t.Fetch.Seconds()*w.Data), bound)
}
