package partition

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
)

// notice is a log event about a change of the State, which does no I/O: its Server logs it.
type notice struct {
	event string
	args  []any // as of slog.Logger.Info
}

func (s *State) addNotice(event string, args ...any) {
	s.notices = append(s.notices, notice{event, args})
}

// takeNotices returns the log events about changes since the last call.
func (s *State) takeNotices() []notice {
	taken := s.notices
	s.notices = nil
	return taken
}

// noteAccounted adds a notice for each acquired partition whose machines are all accounted for or lost by now.
func (s *State) noteAccounted(now clock.Micros) {
	if len(s.acquiredAt) == 0 {
		return
	}
	unaccounted := map[int]int{}
	machines := map[int]int{}
	for _, m := range s.machines {
		machines[m.partition]++
		if !m.accounted && !m.worker.lost() {
			unaccounted[m.partition]++
		}
	}
	for partition, acquiredAt := range s.acquiredAt {
		if unaccounted[partition] > 0 {
			continue
		}
		delete(s.acquiredAt, partition)
		s.addNotice("partition machines accounted for", "partition", partition, "term", s.terms[partition],
			"machines", machines[partition], "after_s", (now - acquiredAt).Seconds())
	}
}

// logNotices logs the State's notices. mu is held.
func (s *Server) logNotices() {
	for _, n := range s.state.takeNotices() {
		s.log.Info(n.event, n.args...)
	}
}
