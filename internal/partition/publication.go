package partition

import (
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Times between the changes of a table and the answers that tell of them.
const (
	publicationDelay           = 12 * clock.Millisecond // after a change, for others that come with it
	minPublicationInterval     = 25 * clock.Millisecond // between two publications
	maxPublicationInterval     = 120 * clock.Millisecond
	publicationIntervalPerPoll = clock.Millisecond / 8 // for each machine held and each poll that waits
)

// publicationInterval is the least time between two publications. It widens with the machines
// that are held and with the controllers that ask: each answer costs both sides, and
// every controller asks every other. How often a process is woken, not how much it does
// then, is most of what it spends.
func publicationInterval(machines, waiting int) clock.Micros {
	return min(minPublicationInterval+clock.Micros(machines*waiting)*publicationIntervalPerPoll, maxPublicationInterval)
}

// publisher publishes the versions of a table: all polls that wait are answered at the same
// moment, by one timer for all of them. Its fields are guarded by the owner's lock.
type publisher struct {
	lock    *sync.Mutex
	version func() uint64
	clock   clock.Clock

	published    uint64        // version that polls are answered for
	publishedAt  clock.Micros  // when it was published
	scheduled    bool          // the next publication is on its way
	waitingPolls int           // polls that wait
	next         chan struct{} // closed with the next publication
}

func newPublisher(lock *sync.Mutex, version func() uint64, c clock.Clock) publisher {
	return publisher{lock: lock, version: version, clock: c, next: make(chan struct{})}
}

// schedule has a version published, no sooner than a gap after the last one. The lock is held.
func (f *publisher) schedule(version uint64, gap clock.Micros) {
	if f.scheduled || version == f.published {
		return
	}
	f.scheduled = true
	wait := max(publicationDelay, f.publishedAt+gap-f.clock.Now())
	time.AfterFunc(wait.Duration(), f.publish)
}

func (f *publisher) publish() {
	f.lock.Lock()
	defer f.lock.Unlock()
	f.scheduled = false
	f.published, f.publishedAt = f.version(), f.clock.Now()
	close(f.next)
	f.next = make(chan struct{})
}

// HandlePoll gives the machines that changed after a cursor, waiting for a change.
func (s *Server) HandlePoll(in peer.PollRequest) peer.PollResponse {
	s.awaitPublication(in)
	began := time.Now()
	defer func() { s.pollDuty.Round(time.Since(began)) }()
	s.Reconcile() // what is held no more is not told of
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.HandlePoll(in, s.incarnation, s.clock.Now())
}

// awaitPublication returns when a poll is to be answered: there is news for it, or its time is over.
func (s *Server) awaitPublication(in peer.PollRequest) {
	deadline := time.NewTimer(in.Wait.Duration())
	defer deadline.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.waitingPolls++
	defer func() { s.publisher.waitingPolls-- }()
	for in.Incarnation == s.incarnation && s.publisher.published <= in.Cursor {
		next := s.publisher.next
		s.mu.Unlock()
		over := false
		select {
		case <-next:
		case <-deadline.C:
			over = true
		case <-s.stopped:
			over = true
		}
		s.mu.Lock()
		if over {
			return
		}
	}
}
