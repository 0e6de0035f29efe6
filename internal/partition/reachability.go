package partition

import (
	"context"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A controller that the workers can't reach keeps its claims as long as it reaches
// the state service, and its machines lose all their tasks when their leases end.
// Its own silence proves nothing: all of its machines may be gone. But workers
// that get no answer try the next controller, which sends them back: whoever is
// told by its peers that its silent machines are with them is cut off.

// misdirectedTTL is how long a machine that was sent to its owner counts as astray: one
// that gets no answer there takes some five seconds for its round.
const misdirectedTTL = 6 * clock.Second

// misdirectedMachines are the machines that came here lately, by the controller that has them.
type misdirectedMachines struct {
	mu       sync.Mutex
	byLeader map[string]map[string]clock.Micros
}

func (m *misdirectedMachines) add(holder, machine string, now clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byLeader[holder] == nil {
		m.byLeader[holder] = map[string]clock.Micros{}
	}
	m.byLeader[holder][machine] = now
}

func (m *misdirectedMachines) count(holder string, now clock.Micros) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, at := range m.byLeader[holder] {
		if now > at+misdirectedTTL {
			delete(m.byLeader[holder], id)
		}
	}
	return len(m.byLeader[holder])
}

// all lists the machines that came here lately, whoever has them.
func (m *misdirectedMachines) all(now clock.Micros) map[string]bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	out := map[string]bool{}
	for _, machines := range m.byLeader {
		for id, at := range machines {
			if now <= at+misdirectedTTL {
				out[id] = true
			}
		}
	}
	return out
}

// MisdirectedMachines lists the machines of other controllers that have come to this one lately.
func (s *Server) MisdirectedMachines() map[string]bool { return s.misdirected.all(s.clock.Now()) }

// Misdirected is how many machines of a controller's have come to this one lately.
func (s *Server) Misdirected(holder string) int { return s.misdirected.count(holder, s.clock.Now()) }

// MissedHeartbeats tells how many machines should be reporting here, and how many of them
// have left out a report.
func (s *Server) MissedHeartbeats() (all, unheard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.missedHeartbeats(s.clock.Now())
}

// reachabilityProbes is how many workers are asked whether this controller reaches them.
const reachabilityProbes = 6

// ReachesWorkers asks some of the workers on record and tells whether most of them answer.
func (s *Server) ReachesWorkers(ctx context.Context) bool {
	var addrs []string
	s.mu.Lock()
	s.records.Each(func(_ string, r inventory.Record) {
		if len(addrs) < reachabilityProbes && r.Addr != "" {
			addrs = append(addrs, r.Addr)
		}
	})
	s.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answers := make([]bool, len(addrs))
	for i, a := range addrs {
		wg.Go(func() {
			c := httpx.NewClient(a, 1, 256<<10)
			defer c.Close()
			_, err := c.Do(ctx, "GET", wire.PathShow, nil)
			answers[i] = err == nil
		})
	}
	wg.Wait()
	n := 0
	for _, ok := range answers {
		if ok {
			n++
		}
	}
	return 2*n > len(addrs)
}
