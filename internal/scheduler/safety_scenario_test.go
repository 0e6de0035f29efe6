package scheduler

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Whatever is lost, late or repeated, and whoever crashes: no task on two
// machines, no team over its limit, and in the end every job is done.
func TestRulesHoldWhateverFails(t *testing.T) {
	seeds := uint64(300)
	if testing.Short() {
		seeds = 20
	}
	for seed := uint64(1); seed <= seeds; seed++ {
		w := newWorldOf(t, seed, 4, []float64{0, limitCPU}[seed%2])
		rng := w.rng
		w.settle(8)
		jobsMade := 0
		for step := range 500 {
			w.now += clock.Micros(rng.IntN(200)) * clock.Millisecond
			h := w.hosts[rng.IntN(2)]
			id := w.names[rng.IntN(len(w.names))]
			switch rng.IntN(18) {
			case 0, 1:
				w.poll(h, rng.IntN(4) == 0)
			case 2, 3:
				w.watermark(rng.IntN(4) > 0, rng.IntN(4) > 0)
				w.scheduler.Schedule(w.now)
				for key, m := range w.watermarks { // the replica tells in the end
					w.scheduler.HandleWatermarkRecord(key, m.Watermarks, m.ModRevision)
				}
			case 4, 5:
				w.send(h, rng.IntN(5) > 0, rng.IntN(4) > 0)
			case 6, 7:
				w.report(id, rng.IntN(4) > 0)
			case 8, 9:
				w.deliver(id, rng.IntN(3) == 0, rng.IntN(3) > 0)
			case 10:
				if len(w.orders) > 0 {
					o := w.orders[rng.IntN(len(w.orders))]
					w.workers[o.machine].Orders(o.orders, w.now)
				}
			case 11:
				if len(w.rounds) > 0 { // a late round reaches the process it was sent to, if that lives
					if r := w.rounds[rng.IntN(len(w.rounds))]; r.h.table == r.table {
						r.table.HandleBatch(r.round, r.h.instance, w.now)
					}
				}
			case 12:
				for _, k := range w.workers[id].InOrder() {
					if k.Phase != wire.TaskExited && rng.IntN(2) == 0 {
						k.Phase, k.Cause = wire.TaskExited, []string{wire.CauseDone, wire.CauseDone, wire.CauseError}[rng.IntN(3)]
					}
				}
			case 13:
				if jobsMade < 6 {
					jobsMade++
					w.addJob(fmt.Sprintf("job-%d", jobsMade), 3+rng.IntN(8), nil)
				}
			case 14:
				switch rng.IntN(12) {
				case 0: // a controller's owner part crashes and takes its partitions anew
					w.restart(h)
				case 1: // a partition moves
					w.gain(rng.IntN(2), rng.IntN(2))
				case 2:
					w.newScheduler()
				}
			case 15:
				w.tick()
			case 16: // a copy of a report comes late, also of an earlier session
				if len(w.copies) > 0 {
					r := w.copies[rng.IntN(len(w.copies))]
					p := w.part(r.Machine)
					w.hosts[w.partHost[p]].table.HandleHeartbeat(&r, p, w.now)
				}
			case 17:
				switch rng.IntN(20) {
				case 0: // all controllers stand still, and go on as though no time had passed
					w.now += clock.Micros(3+rng.IntN(40)) * sec
				case 1:
					if id := fmt.Sprintf("job-%d", 1+rng.IntN(6)); w.active[id] != nil {
						w.scheduler.CancelJob(red, id)
					}
				}
			}
			w.check(fmt.Sprintf("seed %d step %d", seed, step))
		}
		for range 60 {
			w.settle(4)
			w.exitAll(wire.CauseDone)
		}
		require.Empty(t, w.active, "seed %d: some job never ended", seed)
	}
}

// The answer to a round comes late, after a poll that shows the machine without
// the task again. The task must not stay bound for ever.
func TestAGrantThatIsOverAlreadyIsReleased(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	h := w.hosts[0]
	r := w.scheduler.NextBatch(h.name)
	ans := h.table.HandleBatch(*r, h.instance, w.now)
	w.now += 5 * sec
	h.table.Tick(w.now) // the lease lapses unused
	w.poll(h, false)
	w.scheduler.HandleBatchResponse(h.name, r, &ans, w.now)
	require.Empty(t, w.scheduler.teams[red].jobs["job-1"].assignments)
	w.settle(8)
	require.Equal(t, 1, w.running())
}

// An ask has no answer, and its machine falls silent for a lease. The machine
// may come back, and the repeated round be granted then.
func TestSilenceDoesNotReleaseAnUnansweredAsk(t *testing.T) {
	w := newWorld(t, 1, 1)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	w.send(w.hosts[0], false, false)
	w.now += 2 * lease
	w.tick()
	w.poll(w.hosts[0], false)
	require.Empty(t, w.registry)
	require.Len(t, w.scheduler.teams[red].jobs["job-1"].assignments, 1)
	w.settle(12)
	require.Equal(t, 1, w.running())
}

// A task is on a machine whose controller crashes with its start under way:
// its place is not given to another machine until that one is accounted for.
func TestAnAskWithoutAnswerIsNotMadeElsewhere(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	var at *host
	for _, h := range w.hosts {
		if r := w.scheduler.NextBatch(h.name); r != nil {
			at = h
			h.table.HandleBatch(*r, h.instance, w.now)
		}
	}
	p := 0
	for i, x := range w.partHost {
		if w.hosts[x] == at {
			p = i
		}
	}
	for _, id := range w.names {
		if w.part(id) == p {
			w.deliver(id, true, false)
		}
	}
	w.boot(at) // the answer is lost, the process too
	w.gain(p, w.partHost[p])
	for range 4 {
		for _, h := range w.hosts {
			w.poll(h, false)
		}
		w.place()
		for _, h := range w.hosts {
			w.send(h, true, true)
		}
		for _, id := range w.names {
			if w.part(id) != p {
				w.report(id, true)
				w.deliver(id, false, true)
			}
		}
		w.check("waiting")
	}
	require.Zero(t, w.running(), "it may still arrive at the first machine")
	w.settle(20)
	require.Equal(t, 1, w.running())
}

// Another process than the one that may have granted answers a round: its
// refusal proves nothing.
func TestARefusalByAnotherProcessReleasesNothing(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settle(8)
	w.addJob("job-1", 1, nil)
	w.place()
	for _, h := range w.hosts {
		r := w.scheduler.NextBatch(h.name)
		if r == nil {
			continue
		}
		ans := peer.BatchResponse{Incarnation: "someone else", Refused: []bool{true}}
		w.scheduler.HandleBatchResponse(h.name, r, &ans, w.now)
	}
	require.Len(t, w.scheduler.teams[red].jobs["job-1"].assignments, 1)
	require.NotZero(t, w.scheduler.teams[red].used.CPU, "it counts against the limit")
}

// Spread and one_zone count every task that may be somewhere.
func TestZonesCountWhatMayRun(t *testing.T) {
	w := newWorld(t, 1, 4)
	w.settle(8)
	w.addJob("job-1", 4, func(j *wire.Job) { j.Spread = true })
	w.addJob("job-2", 2, func(j *wire.Job) { j.OneZone = true })
	w.place() // nothing is sent yet: all are only asked for
	zones := map[string]int{}
	for n, b := range w.scheduler.teams[red].jobs["job-1"].assignments {
		require.NotNil(t, b, n)
		zones[b.zone]++
	}
	require.LessOrEqual(t, zones["a"], 2)
	require.LessOrEqual(t, zones["b"], 2)
	zones = map[string]int{}
	for _, b := range w.scheduler.teams[red].jobs["job-2"].assignments {
		zones[b.zone]++
	}
	require.Len(t, zones, 1)
}

// A withdrawal counts as taken only by owners that have it.
func TestCancelIsToldOnlyWhenOwnersHaveIt(t *testing.T) {
	w := newWorld(t, 1, 2)
	w.settle(8)
	w.addJob("job-1", 2, nil)
	w.settle(2)
	require.Equal(t, 2, w.running())
	require.True(t, w.scheduler.CancelJob(red, "job-1"))
	j := w.scheduler.teams[red].jobs["job-1"]
	require.False(t, w.scheduler.CancellationConfirmed(j, w.parts()))
	w.send(w.hosts[0], true, true)
	w.send(w.hosts[1], true, false) // taken, but the answer is lost
	require.False(t, w.scheduler.CancellationConfirmed(j, w.parts()))
	w.send(w.hosts[1], true, true)
	require.True(t, w.scheduler.CancellationConfirmed(j, w.parts()))
	w.settle(4)
	require.Zero(t, w.running())
}
