package partition

import (
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// These intervals control how soon changes of the State are published to waiting polls.
const (
	// publicationDelay is the time from a change to its publication, to include changes that follow at once.
	publicationDelay       = 12 * clock.Millisecond
	minPublicationInterval = 25 * clock.Millisecond
	maxPublicationInterval = 120 * clock.Millisecond
	// publicationIntervalPerMachineAndPoll, multiplied by the number of known machines and by that of waiting polls, is added
	// to minPublicationInterval.
	publicationIntervalPerMachineAndPoll = clock.Millisecond / 8
)

// publicationInterval returns the shortest time between two publications. It grows with the number of known machines
// and with that of waiting polls, because each response costs both sides, and every controller polls every other one.
// Most of the cost of a process comes from how often it is woken, not from how much it does then.
func publicationInterval(machines, waitingPolls int) clock.Micros {
	return min(minPublicationInterval+clock.Micros(machines*waitingPolls)*publicationIntervalPerMachineAndPoll, maxPublicationInterval)
}

// publisher announces new versions of the State to waiting polls. One timer answers all polls at the same time. The
// Server's lock guards its fields.
//
// The timer runs only while a publication is scheduled, for maxPublicationInterval at most.
type publisher struct {
	lock    *sync.Mutex // the Server's
	version func() uint64
	clock   clock.Clock

	published    uint64        // polls with an older cursor than this version are answered
	publishedAt  clock.Micros  // time of the last publication
	scheduled    bool          // the timer of the next publication runs
	waitingPolls int           // number of polls that wait
	next         chan struct{} // closed by the next publication
}

func newPublisher(lock *sync.Mutex, version func() uint64, c clock.Clock) publisher {
	return publisher{lock: lock, version: version, clock: c, next: make(chan struct{})}
}

// schedule starts the timer for the publication of a version, unless it is already published or a timer runs. The
// publication comes at least an interval after the last one. The lock is held.
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

// HandlePoll waits until something has changed after the poll's cursor, or the poll's time is over, and returns the
// machines that changed.
func (s *Server) HandlePoll(in peer.PollRequest) peer.PollResponse {
	s.awaitPublication(in)
	start := time.Now()
	defer func() { s.pollDuty.RecordRound(time.Since(start)) }()
	s.Reconcile() // so that partitions that this process no longer leads are not shown
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.HandlePoll(in, s.processID, s.clock.Now())
}

// awaitPublication waits until a poll is to be answered: a version after its cursor is published, its time is over,
// or the server stops. A poll that names another process is answered at once, since its cursor has no meaning
// here.
func (s *Server) awaitPublication(in peer.PollRequest) {
	deadline := time.NewTimer(in.Wait.Duration())
	defer deadline.Stop()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.publisher.waitingPolls++
	defer func() { s.publisher.waitingPolls-- }()
	for in.Incarnation == s.processID && s.publisher.published <= in.Cursor {
		next := s.publisher.next
		s.mu.Unlock()
		done := false
		select {
		case <-next:
		case <-deadline.C:
			done = true
		case <-s.stopped:
			done = true
		}
		s.mu.Lock()
		if done {
			return
		}
	}
}
