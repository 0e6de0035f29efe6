// Package history keeps a bounded record of what a controller has seen happen: tasks that run and
// end, jobs that are over, zones that change. Operators gather it from all controllers into
// one columnar file, and a checker holds the rules against that file.
package history

import (
	"sync"
)

// Kind of an event.
type Kind string

// Kinds of events.
const (
	TaskRunning Kind = "running" // an owner has seen the task run
	TaskEnded   Kind = "ended"   // an owner has seen it end, or knows that it is gone; Note tells why
	JobOver     Kind = "over"    // the controller has learnt its final answer; Note is the phase
	ZoneChanged Kind = "zone"    // Note is the state and stage
)

// Event is something that a controller has seen happen.
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

// Ring keeps the latest events. A nil ring keeps none.
type Ring struct {
	mu         sync.Mutex
	now        func() int64 // time of day in ms
	host       string
	events     []Event
	nextNumber uint64 // number of the next event; the ring holds the last len(events) before it
	capacity   int
}

// approxEventBytes is about what an event holds of memory, its strings shared.
const approxEventBytes = 200

// Entries is how many events a ring keeps that may take so much memory.
func Entries(bytes int) int { return max(64, bytes/approxEventBytes) }

// NewRing makes a ring of so many events.
func NewRing(host string, most int, now func() int64) *Ring {
	return &Ring{host: host, capacity: most, now: now}
}

// Add takes an event; its time and controller are filled in.
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

// Page is a part of a controller's history.
type Page struct {
	Host   string
	Events []Event
	Next   uint64 // asks for what follows
	Lost   uint64 // events before these that are not kept any more
	More   bool
}

// Page gives at most so many events from a number on.
func (r *Ring) Page(from uint64, most int) Page {
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
	for ; from < r.nextNumber && len(out.Events) < most; from++ {
		out.Events = append(out.Events, r.events[from%uint64(r.capacity)])
	}
	out.Next, out.More = from, from < r.nextNumber
	return out
}
