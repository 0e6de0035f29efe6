// Package history keeps a bounded record of what a controller has observed: tasks that run and end, jobs that
// are over, zones that change. Ring holds the latest events in memory; Write and Read are the columnar file into
// which operators gather the events of all controllers; Check finds violations of the invariants in them: no
// task runs on two machines at a time, and every job has one final state.
package history

import "sync"

// Kind of an event.
type Kind string

// Kinds of events.
const (
	TaskRunning Kind = "running" // a partition leader has seen the task run
	TaskEnded   Kind = "ended"   // a partition leader has seen it end, or knows that it is gone; Note is the cause
	JobOver     Kind = "over"    // the controller has seen its final state; Note is the phase
	ZoneChanged Kind = "zone"    // Note is the state and stage
)

// Event is something that a controller has observed. The fields are the columns of the file, and wire format.
type Event struct {
	AtMS       int64  `parquet:"at_ms,delta"` // time of day at the controller
	Controller string `parquet:"controller,dict"`
	Kind       Kind   `parquet:"kind,dict"`
	Job        string `parquet:"job,dict"`
	Task       int32  `parquet:"task"`
	Attempt    uint64 `parquet:"attempt"`
	Machine    string `parquet:"machine,dict"`
	Zone       string `parquet:"zone,dict"`
	Note       string `parquet:"note,dict"`
}

// Ring keeps the latest events. It is safe for concurrent use; a nil ring keeps none.
type Ring struct {
	now      func() int64 // time of day in ms
	host     string       // the controller
	capacity int

	mu         sync.Mutex // guards the fields below
	events     []Event    // event number n is at n modulo capacity
	nextNumber uint64     // number of the next event; the ring holds the last len(events) before it
}

const (
	// approxEventBytes is about how much memory an event takes, its strings shared.
	approxEventBytes = 200
	// minEntries is how many events a ring keeps at least.
	minEntries = 64
)

// Entries is how many events a ring keeps that may take so many bytes of memory.
func Entries(bytes int) int { return max(minEntries, bytes/approxEventBytes) }

// NewRing makes a ring of so many events for a controller; now is the time of day in ms.
func NewRing(host string, capacity int, now func() int64) *Ring {
	return &Ring{host: host, capacity: capacity, now: now}
}

// Add adds an event; its time and controller are filled in.
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

// Page is a part of a controller's history. The fields are wire format.
type Page struct {
	Host   string
	Events []Event
	Next   uint64 // number to ask for what follows
	Lost   uint64 // events before these, since the number asked for, that are not kept any more
	More   bool
}

// Page returns at most so many events from a number on.
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
