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

// misdirectedFor is how long a machine that was sent to its owner counts as astray: one
// that gets no answer there takes some five seconds for its round.
const misdirectedFor = 6 * clock.Second

// misdirected are the machines that came here lately, by the controller that has them.
type misdirected struct {
	mu sync.Mutex
	of map[string]map[string]clock.Micros
}

func (s *misdirected) note(holder, machine string, now clock.Micros) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.of[holder] == nil {
		s.of[holder] = map[string]clock.Micros{}
	}
	s.of[holder][machine] = now
}

func (s *misdirected) count(holder string, now clock.Micros) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, at := range s.of[holder] {
		if now > at+misdirectedFor {
			delete(s.of[holder], id)
		}
	}
	return len(s.of[holder])
}

// all lists the machines that came here lately, whoever has them.
func (s *misdirected) all(now clock.Micros) map[string]bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	out := map[string]bool{}
	for _, machines := range s.of {
		for id, at := range machines {
			if now <= at+misdirectedFor {
				out[id] = true
			}
		}
	}
	return out
}

// MisdirectedMachines lists the machines of other controllers that have come to this one lately.
func (o *Server) MisdirectedMachines() map[string]bool { return o.misdirected.all(o.clock.Now()) }

// Misdirected is how many machines of a controller's have come to this one lately.
func (o *Server) Misdirected(holder string) int { return o.misdirected.count(holder, o.clock.Now()) }

// MissedHeartbeats tells how many machines should be reporting here, and how many of them
// have left out a report.
func (o *Server) MissedHeartbeats() (all, unheard int) {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.table.unheard(o.clock.Now())
}

func (t *State) unheard(now clock.Micros) (all, unheard int) {
	for _, m := range t.machines {
		if m.silent || m.gone || !m.registered {
			continue
		}
		all++
		if now > m.answered+t.timing.HeartbeatOverdue/2+clock.Second/5 {
			unheard++
		}
	}
	return all, unheard
}

// probes is how many workers are asked whether this controller reaches them.
const probes = 6

// ReachesWorkers asks some of the workers on record and tells whether most of them answer.
func (o *Server) ReachesWorkers(ctx context.Context) bool {
	var addrs []string
	o.mu.Lock()
	o.records.Each(func(_ string, r inventory.Record) {
		if len(addrs) < probes && r.Addr != "" {
			addrs = append(addrs, r.Addr)
		}
	})
	o.mu.Unlock()
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
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
