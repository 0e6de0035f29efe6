// Package placement estimates the cost of placing a task on a machine: the number of seconds by which the task starts
// or ends later than on an ideal machine. The cost is a pure function of Task, Machine and Weights. The scheduler
// collects these and takes the machine with the lowest cost.
package placement

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Task holds the properties of a task on which the cost depends.
type Task struct {
	Estimate clock.Micros // estimated run time
	Fetch    clock.Micros // time to fetch the image on a machine that fetches nothing else; 0: unknown
}

// Machine holds the properties of a machine on which the cost depends. The task fits on the machine.
type Machine struct {
	HasImage      bool    // the machine has the task's image
	Fetching      bool    // the machine is fetching the task's image
	OtherFetches  int     // number of other images that the machine is fetching
	Slowdown      float64 // run times on the machine relative to those on other machines; 0: unknown
	Utilization   float64 // CPU utilization of the machine with the task on it, from 0 to 1
	RelativePrice float64 // price of a CPU relative to that of the most expensive kind; 0: unknown
}

// Weights are the operators' weights of the parts of the cost.
type Weights struct {
	ImageFetch  float64 // factor of the seconds spent on fetching images; 0: the location of images does not matter
	Utilization float64 // seconds that a fully used machine costs more than an empty one
	Price       float64 // seconds that a machine of the most expensive kind costs more than one that costs nothing
}

// remainingFetchShare is the part of a fetch that is left on average when the fetch is already under way.
const remainingFetchShare = 0.5

// FetchTimeKnown reports whether the time to fetch the image is known, without which costs are not estimated.
func (t *Task) FetchTimeKnown() bool { return t.Fetch > 0 }

// Cost returns the cost, in seconds, of placing a task on a machine: the weighted time to fetch the image, the time by
// which a slow machine prolongs the run, and the weighted utilization and price. Images that a machine fetches
// concurrently share its bandwidth.
func Cost(t *Task, m *Machine, w *Weights) float64 {
	cost := 0.0
	if !m.HasImage {
		fetch := t.Fetch.Seconds() * float64(1+m.OtherFetches)
		if m.Fetching {
			fetch *= remainingFetchShare
		}
		cost += w.ImageFetch * fetch
	}
	if m.Slowdown > 0 {
		cost += (m.Slowdown - 1) * t.Estimate.Seconds()
	}
	return cost + w.Utilization*m.Utilization + w.Price*m.RelativePrice
}

// TieThreshold is the difference in cost, in seconds, up to which machines count as equally good. The estimates are not more
// accurate than that, so other criteria decide between such machines.
const TieThreshold = 0.5

// MaxImageWait returns how long a task should wait for capacity on a machine that has its image: the time to fetch the
// image, multiplied by the weight of image fetches, but at most bound.
func MaxImageWait(t *Task, w *Weights, bound clock.Micros) clock.Micros {
	return min(clock.FromSeconds(t.Fetch.Seconds()*w.ImageFetch), bound)
}
