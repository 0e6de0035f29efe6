// Package history keeps a bounded record of the events that a controller observes: tasks that run or end, jobs that
// reach a final state, zones that change their state. Ring holds the latest events in memory. Write stores the
// events that operators collected in a Parquet file, and Read reads them back. Check finds violations of two
// invariants in them: no task runs on two machines at a time, and every job has one final state.
package history

import "sync"

// Kind is the kind of an event.
type Kind string

// Kinds of events.
const (
	TaskRunning Kind = "running" // a partition leader observed that the task runs
	TaskEnded   Kind = "ended"   // a partition leader observed that the task ended, or knows that it is gone; Note is the cause
	JobFinished Kind = "over"    // the controller observed the job's final state; Note is the phase
	ZoneChanged Kind = "zone"    // the zone's state or stage changed; Note is the state and, during a return, the stage
)

// Event is one observation of a controller. Its fields are the columns of the Parquet file, and controllers send
// events in a Page, so the names and the order of the fields must not change.
type Event struct {
	AtMS       int64  `parquet:"at_ms,delta"` // by the controller's clock, in milliseconds since the Unix epoch
	Controller string `parquet:"controller,dict"`
	Kind       Kind   `parquet:"kind,dict"`
	Job        string `parquet:"job,dict"`
	Task       int32  `parquet:"task"`
	Attempt    uint64 `parquet:"attempt"`
	Machine    string `parquet:"machine,dict"`
	Zone       string `parquet:"zone,dict"`
	Note       string `parquet:"note,dict"`
}

// Ring keeps a controller's latest events and overwrites the oldest. It is safe for concurrent use; a nil Ring keeps
// no events.
type Ring struct {
	now      func() int64 // milliseconds since the Unix epoch
	host     string       // name of the controller
	capacity int

	mu         sync.Mutex // guards the fields below
	events     []Event    // the event with number n is at index n modulo capacity
	nextNumber uint64     // number of the next event; the ring holds the last len(events) before it
}

const (
	// approxEventBytes is the approximate memory of one event; events share most of their strings.
	approxEventBytes = 200
	// minCapacity is the smallest number of events that CapacityForBytes returns.
	minCapacity = 64
)

// CapacityForBytes returns the number of events that fit into so many bytes of memory, but at least minCapacity.
func CapacityForBytes(bytes int) int { return max(minCapacity, bytes/approxEventBytes) }

// NewRing returns an empty ring that keeps at most capacity events of the controller host. now returns the time in
// milliseconds since the Unix epoch.
func NewRing(host string, capacity int, now func() int64) *Ring {
	return &Ring{host: host, capacity: capacity, now: now}
}

// Add stores an event, and sets its time and controller. A full ring overwrites its oldest event.
func (r *Ring) Add(e Event) {
	if r == nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	e.AtMS, e.Controller = r.now(), r.host
	if len(r.events) < r.capacity {
		r.events = append(r.events, e)
	} else {
		r.events[r.nextNumber%uint64(r.capacity)] = e
	}
	r.nextNumber++
}

// Page is a part of a controller's history. Controllers send it to operators' commands, so the names and the order of
// its fields must not change.
type Page struct {
	Host   string
	Events []Event
	Next   uint64 // number of the event that the next request begins with
	Lost   uint64 // requested events that the ring has overwritten
	More   bool   // the ring holds events from Next on
}

// Page returns at most limit events, beginning with number from, or with the oldest that the ring still holds.
func (r *Ring) Page(from uint64, limit int) Page {
	if r == nil {
		return Page{}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	oldest := r.nextNumber - uint64(len(r.events))
	out := Page{Host: r.host}
	if from < oldest {
		out.Lost, from = oldest-from, oldest
	}
	for ; from < r.nextNumber && len(out.Events) < limit; from++ {
		out.Events = append(out.Events, r.events[from%uint64(r.capacity)])
	}
	out.Next, out.More = from, from < r.nextNumber
	return out
}
