package partition

import (
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// Times between the changes of a State and the publications that show them.
const (
	publicationDelay           = 12 * clock.Millisecond // after a change, for others that come with it
	minPublicationInterval     = 25 * clock.Millisecond
	maxPublicationInterval     = 120 * clock.Millisecond
	publicationIntervalPerPoll = clock.Millisecond / 8 // for each machine known and each poll that waits
)

// publicationInterval is the least time between two publications. It widens with the machines
// that are known and with the polls that wait: each answer costs both sides, and
// every controller polls every other. How often a process is woken, not how much it does
// then, is most of what it spends.
func publicationInterval(machines, waitingPolls int) clock.Micros {
	return min(minPublicationInterval+clock.Micros(machines*waitingPolls)*publicationIntervalPerPoll, maxPublicationInterval)
}

// publisher publishes the versions of a State: all polls that wait are answered at the same
// moment, by one timer for all of them. Its fields are guarded by the Server's lock.
//
// Its timer runs only while a publication is scheduled, for maxPublicationInterval at most.
type publisher struct {
	lock    *sync.Mutex // the Server's
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

// schedule has a version published, no sooner than an interval after the last one. The lock is held.
func (p *publisher) schedule(version uint64, interval clock.Micros) {
	if p.scheduled || version == p.published {
		return
	}
	p.scheduled = true
	wait := max(publicationDelay, p.publishedAt+interval-p.clock.Now())
	time.AfterFunc(wait.Duration(), p.publish)
}

func (p *publisher) publish() {
	p.lock.Lock()
	defer p.lock.Unlock()
	p.scheduled = false
	p.published, p.publishedAt = p.version(), p.clock.Now()
	close(p.next)
	p.next = make(chan struct{})
}

// HandlePoll returns the machines that changed after a cursor, waiting for a change.
func (s *Server) HandlePoll(in peer.PollRequest) peer.PollResponse {
	s.awaitPublication(in)
	began := time.Now()
	defer func() { s.pollDuty.Round(time.Since(began)) }()
	s.Reconcile() // partitions that are led no more are not shown
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.HandlePoll(in, s.incarnation, s.clock.Now())
}

// awaitPublication returns when a poll is to be answered: a version after its cursor is published, its time is over,
// or the server stops. A poll that knows another incarnation is answered immediately.
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
