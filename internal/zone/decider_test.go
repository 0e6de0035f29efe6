package zone

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
)

const sec = clock.Second

var settings = Settings{SuspectAfter: 4 * sec, LostAfter: 12 * sec, ReturnDelay: 3 * sec, MaxReturnDelay: 60 * sec}

// scenario is a decider of two zones with the evidence and the waiting tasks that the test sets.
type scenario struct {
	t       *testing.T
	decider *Decider
	now     clock.Micros
	a, b    Evidence
	waiting map[recovery.Stage]int
}

var (
	allReachable = Evidence{Machines: 10}
	allMissing   = Evidence{Machines: 10, Missing: 10}
)

func newScenario(t *testing.T) *scenario {
	s := &scenario{t: t, now: 100 * sec, a: allReachable, b: allReachable, waiting: map[recovery.Stage]int{}}
	s.decider = NewDecider(settings, []string{"a", "b"}, nil, s.now)
	return s
}

// run advances the time by d, with one step of the decider every half second.
func (s *scenario) run(d clock.Micros) {
	for end := s.now + d; s.now < end; {
		s.now += sec / 2
		s.decider.Step(map[string]Evidence{"a": s.a, "b": s.b}, s.waiting, s.now, int64(s.now/1000))
	}
}

func (s *scenario) requireState(zone string, state State, stage recovery.Stage) {
	s.t.Helper()
	r := s.decider.Records()[zone]
	require.Equal(s.t, state, r.State, "%s at %v: %+v", zone, s.now.Seconds(), r)
	require.Equal(s.t, stage, r.Stage, "%s at %v: %+v", zone, s.now.Seconds(), r)
}

// A zone whose machines are missing becomes suspect and then lost. Once they are reachable again it returns through
// all stages. Each stage ends when its work is done, or at its bound.
func TestLostZoneReturnsInStages(t *testing.T) {
	s := newScenario(t)
	s.run(5 * sec)
	s.requireState("b", Healthy, 0)
	s.b = allMissing
	s.run(3 * sec)
	s.requireState("b", Healthy, 0)
	s.run(2 * sec)
	s.requireState("b", Suspect, 0)
	s.run(9 * sec)
	s.requireState("b", Lost, 0)
	s.requireState("a", Healthy, 0)
	s.b, s.waiting[recovery.Urgent], s.waiting[recovery.Services] = Evidence{Machines: 10, Unaccounted: 4}, 5, 5
	s.run(2 * sec)
	s.requireState("b", Lost, 0)
	s.run(3 * sec / 2)
	s.requireState("b", Returning, recovery.Reconcile)
	s.run(5 * sec)
	s.requireState("b", Returning, recovery.Reconcile)
	s.b.Unaccounted = 0
	s.run(sec / 2)
	s.requireState("b", Returning, recovery.Urgent)
	s.run(10 * sec)
	s.requireState("b", Returning, recovery.Urgent)
	s.waiting[recovery.Urgent] = 0
	s.run(sec / 2)
	s.requireState("b", Returning, recovery.Services)
	s.run(15 * sec) // the stage ends at its bound although tasks wait
	s.requireState("b", Returning, recovery.Cold)
	s.run(15 * sec)
	s.requireState("b", Healthy, 0)
}

// A zone stays healthy if less than two thirds of its machines are missing, if it has too few machines to tell, and if no
// other zone is reachable, so that the deciding controller itself may be cut off.
func TestZoneStaysHealthyWithoutEvidenceOfZoneLoss(t *testing.T) {
	for name, x := range map[string]struct{ a, b Evidence }{
		"just over half of the machines are missing":      {allReachable, Evidence{Machines: 9, Missing: 5}},
		"no zone is reachable: the controller is cut off": {allMissing, allMissing},
		"two machines fail":                               {allReachable, Evidence{Machines: 2, Missing: 2}},
		"the other zone has no machines":                  {Evidence{}, allMissing},
	} {
		t.Run(name, func(t *testing.T) {
			s := newScenario(t)
			s.a, s.b = x.a, x.b
			s.run(60 * sec)
			s.requireState("a", Healthy, 0)
			s.requireState("b", Healthy, 0)
		})
	}
	only := NewDecider(settings, []string{"a"}, nil, sec)
	require.False(t, only.HasSeveralZones())
	require.Empty(t, only.Step(map[string]Evidence{"a": allMissing}, nil, 100*sec, 0))
}

// A zone whose machines are missing again during each return must be reachable for twice as long before the next return.
// Otherwise work would be started in it, and lost, every few seconds.
func TestFlappingZoneReturnsLaterEachTime(t *testing.T) {
	s := newScenario(t)
	s.b = allMissing
	s.run(20 * sec)
	s.requireState("b", Lost, 0)
	returns, last := 0, Lost
	for range 24 { // for four minutes reachable and missing by turns, for five seconds each
		s.b = allReachable
		s.run(5 * sec)
		if state := s.decider.Records()["b"].State; state == Returning && last != Returning {
			returns++
		}
		s.b = allMissing
		s.run(5 * sec)
		last = s.decider.Records()["b"].State
		require.Equal(t, Lost, last)
	}
	require.Equal(t, 1, returns, "the second return begins only after six seconds")
	s.b = allReachable
	s.run(6*sec + sec/2)
	s.requireState("b", Returning, recovery.Reconcile)
}

// A return that operators hold stays at its stage, also under the decider of another leader, until they let it continue.
func TestHeldReturnStaysAtItsStage(t *testing.T) {
	s := newScenario(t)
	s.b = allMissing
	s.run(20 * sec)
	s.b = allReachable
	s.run(6 * sec)
	s.requireState("b", Returning, recovery.Urgent)
	_, known := s.decider.Hold("b", true, 1)
	require.True(t, known)
	s.run(200 * sec)
	s.requireState("b", Returning, recovery.Urgent)
	s.decider = NewDecider(settings, []string{"a", "b"}, s.decider.Records(), s.now)
	s.run(200 * sec)
	s.requireState("b", Returning, recovery.Urgent)
	s.decider.Hold("b", false, 2)
	s.run(25 * sec)
	s.requireState("b", Healthy, 0)
	_, known = s.decider.Hold("c", true, 3)
	require.False(t, known)
}

// A new leader's decider continues from the records: states and stages stay as they were, and only durations start again.
// Otherwise each change of the leader would make a lost zone healthy, or let a return begin again.
func TestNewDeciderContinuesFromRecords(t *testing.T) {
	s := newScenario(t)
	s.b = allMissing
	s.waiting = map[recovery.Stage]int{recovery.Urgent: 1, recovery.Services: 1}
	seen := map[State]bool{}
	for range 160 {
		s.run(sec)
		seen[s.decider.Records()["b"].State] = true
		before := s.decider.Records()
		s.decider = NewDecider(settings, []string{"a", "b"}, before, s.now)
		require.Equal(t, before, s.decider.Records())
		if s.decider.Records()["b"].State == Lost {
			s.b = allReachable
		}
	}
	require.True(t, seen[Healthy], "a decider that lives for one second must not decide what takes longer")
	s.run(20 * sec)
	s.requireState("b", Lost, 0)
	s.b = allReachable
	s.run(4 * sec)
	s.decider = NewDecider(settings, []string{"a", "b"}, s.decider.Records(), s.now)
	s.requireState("b", Returning, recovery.Reconcile)
	s.run(80 * sec)
	s.requireState("b", Healthy, 0)
}

// A zone whose machines are missing during a held return becomes lost in spite of the hold. The next return begins, and is
// held at its first stage.
func TestHeldReturnIsLostWhenMachinesAreMissing(t *testing.T) {
	s := newScenario(t)
	s.b = allMissing
	s.run(20 * sec)
	s.b = allReachable
	s.run(6 * sec)
	s.requireState("b", Returning, recovery.Urgent)
	s.decider.Hold("b", true, 1)
	s.b = allMissing
	s.run(sec)
	s.requireState("b", Lost, recovery.Reconcile)
	s.b = allReachable
	s.run(200 * sec)
	s.requireState("b", Returning, recovery.Reconcile)
}
