package partition

import (
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Times between the changes of a table and the answers that tell of them.
const (
	pollDelay         = 12 * clock.Millisecond // after a change, for others that come with it
	pollGapLeast      = 25 * clock.Millisecond // between two publications
	pollGapMost       = 120 * clock.Millisecond
	pollGapPerMachine = clock.Millisecond / 8 // for each machine held and each poll that waits
)

// pollGap is the least time between two publications. It widens with the machines
// that are held and with the controllers that ask: each answer costs both sides, and
// every controller asks every other. How often a process is woken, not how much it does
// then, is most of what it spends.
func pollGap(machines, waiting int) clock.Micros {
	return min(pollGapLeast+clock.Micros(machines*waiting)*pollGapPerMachine, pollGapMost)
}

// feed publishes the versions of a table: all polls that wait are answered at the same
// moment, by one timer for all of them. Its fields are guarded by the owner's lock.
type feed struct {
	lock    *sync.Mutex
	version func() uint64
	clock   clock.Clock

	published uint64        // version that polls are answered for
	at        clock.Micros  // when it was published
	due       bool          // the next publication is on its way
	waiting   int           // polls that wait
	next      chan struct{} // closed with the next publication
}

func newFeed(lock *sync.Mutex, version func() uint64, c clock.Clock) feed {
	return feed{lock: lock, version: version, clock: c, next: make(chan struct{})}
}

// changed has a version published, no sooner than a gap after the last one. The lock is held.
func (f *feed) changed(version uint64, gap clock.Micros) {
	if f.due || version == f.published {
		return
	}
	f.due = true
	wait := max(pollDelay, f.at+gap-f.clock.Now())
	time.AfterFunc(wait.Duration(), f.publish)
}

func (f *feed) publish() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.due = false
	f.published, f.at = f.version(), f.clock.Now()
	close(f.next)
	f.next = make(chan struct{})
}

// HandlePoll gives the machines that changed after a cursor, waiting for a change.
func (o *Server) HandlePoll(in peer.PollRequest) peer.PollResponse {
	o.await(in)
	began := time.Now()
	defer func() { o.polls.Round(time.Since(began)) }()
	o.Reconcile() // what is held no more is not told of
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.HandlePoll(in, o.instance, o.clock.Now())
}

// await returns when a poll is to be answered: there is news for it, or its time is over.
func (o *Server) await(in peer.PollRequest) {
	deadline := time.NewTimer(in.Wait.Duration())
	defer deadline.Stop()
	o.mu.Lock()
	defer o.mu.Unlock()
	o.feed.waiting++
	defer func() { o.feed.waiting-- }()
	for in.Incarnation == o.instance && o.feed.published <= in.Cursor {
		next := o.feed.next
		o.mu.Unlock()
		over := false
		select {
		case <-next:
		case <-deadline.C:
			over = true
		case <-o.stopped:
			over = true
		}
		o.mu.Lock()
		if over {
			return
		}
	}
}
