package partition

import (
	"context"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/wire"
)

// This file provides what a controller needs to find out that workers can't reach it. Such a controller keeps its
// leaderships for as long as it reaches the key-value store, and its machines lose all their tasks when their worker
// leases expire. Missing heartbeats alone prove nothing, since all of its machines may be gone. But workers that get
// no response try the next controller, which redirects them: a controller is unreachable if its peers say that its
// silent machines report to them.

// misdirectedTTL is how long a machine counts as misdirected after it was redirected. A machine that gets no response
// from its leader takes about five seconds to come back.
const misdirectedTTL = 6 * clock.Second

// misdirectedMachines holds the machines of other controllers that recently sent heartbeats here, by the controller
// that leads their partition. It is safe for concurrent use.
type misdirectedMachines struct {
	mu       sync.Mutex
	byLeader map[string]map[string]clock.Micros // leader -> machine -> time of its last heartbeat here
}

func (m *misdirectedMachines) add(leader, machine string, now clock.Micros) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.byLeader[leader] == nil {
		m.byLeader[leader] = map[string]clock.Micros{}
	}
	m.byLeader[leader][machine] = now
}

// count returns the number of misdirected machines of a controller, and drops those that sent no heartbeat for
// misdirectedTTL.
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

// all returns the misdirected machines of all controllers.
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

// MisdirectedMachines returns the machines of other controllers that recently sent heartbeats to this one.
func (s *Server) MisdirectedMachines() map[string]bool { return s.misdirected.all(s.clock.Now()) }

// MisdirectedCount returns how many machines of another controller recently sent heartbeats to this one.
func (s *Server) MisdirectedCount(leader string) int {
	return s.misdirected.count(leader, s.clock.Now())
}

// MissedHeartbeats counts the machines that should be sending heartbeats to this process, and those of them that have
// missed one.
func (s *Server) MissedHeartbeats() (machines, missed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state.missedHeartbeats(s.clock.Now())
}

// reachabilityProbes is the number of workers that ReachesWorkers sends a request to.
const reachabilityProbes = 6

// ReachesWorkers sends a request to some of the recorded workers and reports whether more than half of them respond
// within deliveryTimeout. It reports false if no worker is recorded.
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

// probeAddresses returns the addresses of up to reachabilityProbes recorded workers.
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
