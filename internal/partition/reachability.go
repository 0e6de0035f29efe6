package partition

import (
	"context"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A controller that the workers can't reach keeps its leaderships as long as it reaches
// the key-value store, and its machines lose all their tasks when their worker leases expire.
// Missing heartbeats alone prove nothing: all of its machines may be gone. But workers
// that get no answer try the next controller, which redirects them: a controller whose peers
// say that its silent machines report to them is unreachable.

// misdirectedTTL is how long a machine that was redirected counts as misdirected: one
// that gets no answer from its leader takes some five seconds to come back.
const misdirectedTTL = 6 * clock.Second

// misdirectedMachines are the machines of other controllers that reported here lately, by the controller that leads
// their partition.
type misdirectedMachines struct {
	mu       sync.Mutex
	byLeader map[string]map[string]clock.Micros // leader: machine: when it last reported here
}

func (m *misdirectedMachines) add(leader, machine string, now clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byLeader[leader] == nil {
		m.byLeader[leader] = map[string]clock.Micros{}
	}
	m.byLeader[leader][machine] = now
}

// count counts the machines of a controller, and forgets those that reported too long ago.
func (m *misdirectedMachines) count(leader string, now clock.Micros) int {
	m.mu.Lock()
	defer m.mu.Unlock()
	for id, at := range m.byLeader[leader] {
		if now > at+misdirectedTTL {
			delete(m.byLeader[leader], id)
		}
	}
	return len(m.byLeader[leader])
}

// all lists the machines of all controllers.
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

// MisdirectedMachines lists the machines of other controllers that have reported to this one lately.
func (s *Server) MisdirectedMachines() map[string]bool { return s.misdirected.all(s.clock.Now()) }

// Misdirected is how many machines of a controller have reported to this one lately.
func (s *Server) Misdirected(holder string) int { return s.misdirected.count(holder, s.clock.Now()) }

// MissedHeartbeats counts the machines that should be reporting here, and those of them that have missed a heartbeat.
func (s *Server) MissedHeartbeats() (all, unheard int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.missedHeartbeats(s.clock.Now())
}

// reachabilityProbes is how many workers are asked whether this controller reaches them.
const reachabilityProbes = 6

// ReachesWorkers asks some of the recorded workers and reports whether most of them answer.
func (s *Server) ReachesWorkers(ctx context.Context) bool {
	addrs := s.probeAddresses()
	ctx, cancel := context.WithTimeout(ctx, deliveryTimeout)
	defer cancel()
	var wg sync.WaitGroup
	answered := make([]bool, len(addrs))
	for i, addr := range addrs {
		wg.Go(func() {
			c := httpx.NewClient(addr, 1, maxWorkerResponse)
			defer c.Close()
			_, err := c.Do(ctx, "GET", wire.PathShow, nil)
			answered[i] = err == nil
		})
	}
	wg.Wait()
	n := 0
	for _, ok := range answered {
		if ok {
			n++
		}
	}
	return 2*n > len(addrs)
}

// probeAddresses returns the addresses of some recorded workers.
func (s *Server) probeAddresses() (addrs []string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.records.Each(func(_ string, r inventory.Record) {
		if len(addrs) < reachabilityProbes && r.Addr != "" {
			addrs = append(addrs, r.Addr)
		}
	})
	return addrs
}
