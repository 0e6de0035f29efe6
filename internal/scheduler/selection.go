package scheduler

import (
	"hash/fnv"
	"slices"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// sumUnaccountedCapacity lists how much of a team's work machines could hold that are not accounted
// for. Those that were not seen yet count as the largest machine there is.
func (s *Scheduler) sumUnaccountedCapacity(tm *team, largest func() resources.Amounts) (n int, room resources.Amounts) {
	for id := range tm.unaccounted {
		n++
		if m := s.machines[id]; m != nil && m.Cap.CPU > 0 {
			room = room.Plus(m.Cap)
		} else {
			room = room.Plus(largest())
		}
	}
	return n, room
}

// largestMachine is the most that any machine seen offers.
func (s *Scheduler) largestMachine() resources.Amounts {
	out := resources.Amounts{CPU: 1e9, GPU: 0, Mem: 1e9} // a thousand CPUs, before any was seen
	s.counters.Looked += len(s.machines)
	seen := false
	for _, m := range s.machines {
		if !seen {
			out, seen = m.Cap, true
			continue
		}
		out = resources.Amounts{CPU: max(out.CPU, m.Cap.CPU), GPU: max(out.GPU, m.Cap.GPU), Mem: max(out.Mem, m.Cap.Mem)}
	}
	return out
}

func withinQuota(a, limit resources.Amounts) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) && (limit.GPU == 0 || a.GPU <= limit.GPU)
}

// Schedule decides on asks for one round of decisions. What it decides waits in
// the owners' next rounds. The batch widens with what waits.
func (s *Scheduler) Schedule(now clock.Micros) (placed int) {
	s.updateAboveShare(now)
	s.moveTasks(now)
	list := s.schedulingOrder(now)
	// After a restart no machine was seen yet: the largest is looked for once a round at
	// most, and not for each machine anew.
	largest := sync.OnceValue(s.largestMachine)
	for _, tm := range s.teams {
		tm.unaccountedCount, tm.unaccountedCapacity = s.sumUnaccountedCapacity(tm, largest)
	}
	waiting := 0
	for _, j := range list {
		waiting += j.waiting()
	}
	batch := s.timing.Batch + waiting/4
	s.largestTaskCPU = s.largestTask(list)
	s.exhausted = exhaustedDemand{staged: len(s.zones) > 0}
	for _, j := range list {
		// However much else goes first, no job's first task waits for ever.
		if !j.hasStarted() && now >= j.acceptedAt+firstTaskDeadline {
			placed += s.scheduleJob(j, 1, now)
		}
	}
	for _, j := range list {
		if placed >= batch {
			break
		}
		placed += s.scheduleJob(j, batch-placed, now)
	}
	return placed
}

// firstTaskDeadline is how long a job may wait for its first task before that one goes
// before all else.
const firstTaskDeadline = 150 * clock.Second

// hasStarted tells that some task of a job is, was, or may have been on a machine.
func (j *job) hasStarted() bool {
	return len(j.assignments) > 0 || j.doneCount > 0 || j.lastStartAt > 0
}

func (s *Scheduler) scheduleJob(j *job, most int, now clock.Micros) (placed int) {
	if j.awaitsAccounting && j.team.unaccountedCount == 0 && j.watermark >= j.offeredByFormer {
		j.releaseFormerlyOffered()
	}
	for placed < most {
		if !withinQuota(j.team.used.Plus(j.team.unaccountedCapacity).Plus(j.Need), j.team.Limit) {
			s.preemptOwn(j, now)
			return placed
		}
		t := j.nextWaiting()
		if t < 0 {
			if j.waiting() == 0 {
				j.stalledSince = 0
			}
			return placed
		}
		m, victims, over := s.selectMachine(j, now)
		if m == nil {
			j.queue = append([]int{t}, j.queue...)
			if j.stalledSince == 0 {
				j.stalledSince = now
			}
			if j.noRoomSince == 0 {
				j.noRoomSince = now
			}
			return placed
		}
		j.noRoomSince = 0
		// A job that is placed bit by bit as others' tasks end is stalled all the
		// same until all of it is placed: on a large fleet there is always a bit.
		j.offeredHere = true
		j.team.attemptCounter++
		s.counters.Placed++
		s.counters.Preempted += len(victims)
		b := &assignment{id: peer.TaskID{Job: j.ID, N: t, Attempt: j.team.term<<32 | j.team.attemptCounter}, job: j, machine: m.ID,
			zone: m.Zone, term: m.Term, unanswered: true, instance: m.instance, assignedAt: now}
		s.addAssignment(b, m)
		m.available = m.available.Minus(j.Need)
		if fetch, ok := s.fetchTime(j, m); ok && !slices.Contains(m.Images, j.Image) {
			m.imageFetchUntil, m.imageFetched = now+fetch, j.Image
		}
		for _, v := range victims {
			// Room that is being made is spoken for: the mirror shows it as taken.
			if t := m.tasks[v]; t != nil {
				t.preemptingUntil = now + 2*clock.Second
				m.available = m.available.Plus(t.Need)
			}
		}
		s.reindex(m)
		o := s.sessions[m.leader]
		o.pending.Asks = append(o.pending.Asks, peer.Assignment{ID: b.id, Made: j.ModRevision, Team: j.team.Name, Rank: j.PriorityLevel, Need: j.Need, Image: j.Image, ImageGB: j.ImageGB,
			Machine: m.ID, Term: m.Term, Victims: victims, Over: over, Covered: j.withinGuarantee,
			Stage: int(j.stage) + 1})
		placed++
	}
	return placed
}

// fitsConstraints tells whether a machine may take one more task of a job, given where
// the others are or may be.
func (j *job) fitsConstraints(m *machineState) bool {
	if m.Spot && !j.Spot || j.Zone != "" && m.Zone != j.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, m.Type) {
		return false
	}
	if j.OneZone {
		for z, n := range j.tasksByZone {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	if j.Spread && j.tasksByZone[m.Zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// mayOffer tells whether a machine may be asked for room for a task of a job now.
func (s *Scheduler) mayOffer(j *job, m *machineState, now clock.Micros) bool {
	return now >= j.avoidUntil[m.ID] && j.fitsConstraints(m) && !j.yieldsAt(m.leader, now) && !j.awaitsZoneStage(m, s.zones, now)
}

// selectMachine draws a small sample of the machines that showed room and takes the
// best fit: of those that have the image, if any, one where a small task takes no
// place from a large one, if any, and of these the one that is better.
func (s *Scheduler) selectMachine(j *job, now clock.Micros) (*machineState, []peer.TaskID, bool) {
	var list []*machineState
	searched := !s.exhausted.isExhausted(j)
	if searched && s.timing.Costs != nil {
		if m, decided := s.selectByCost(j, now); decided {
			return m, nil, false
		}
	}
	if searched {
		list = s.findCapacity(j, s.capacityByImage[j.Image], now)
	}
	bare := len(list) == 0
	if !bare {
		j.noImageSince = 0
	}
	if searched && bare {
		if list = s.findCapacity(j, &s.capacity, now); len(list) > 0 && s.imageFetchTooSlow(j, list[0], now) {
			// The fetch alone would make the task late: room on a machine that has
			// the image is worth a task that has hardly begun.
			if m, victims, over := s.preempt(j, s.capacityByImage[j.Image], now); m != nil && !over {
				return m, victims, over
			}
		}
		if len(list) > 0 && s.waitsForImage(j, list, now) {
			return nil, nil, false
		}
	}
	if len(list) == 0 {
		if s.mayPreempt(j, now) {
			if m, victims, over := s.preempt(j, &s.capacity, now); m != nil {
				return m, victims, over
			}
		}
		if searched {
			s.exhausted.markExhausted(j)
		}
		return nil, nil, false
	}
	prefer := func(some []*machineState) {
		if len(some) > 0 {
			list = some
		}
	}
	if !s.timing.Economy && s.cannotAffordRetry(j) {
		// Without economy the machines that are not taken are its own, also in pieces.
		prefer(onDemandMachines(list))
	}
	if _, hasty := s.timing.Waits[j.Class]; bare && hasty {
		// To start soon counts for more than to leave large pieces whole.
		prefer(withoutOtherFetches(j, list, now))
	}
	prefer(s.keepingLargeSlots(j, list))
	if bare {
		prefer(withoutOtherFetches(j, list, now))
	}
	if !s.isSmall(j) {
		list = s.sample(list, s.timing.Sample)
	}
	var best *machineState
	for _, m := range list {
		if best == nil || s.prefers(j, m, best) {
			best = m
		}
	}
	return best, nil, false
}

// maxImageWait is the longest that a job leaves scarce room to others.
const maxImageWait = 8 * clock.Second

// waitsForImage tells that a job of a economical deployment should leave scarce room to
// others for a moment: its image is on some machines, and room may come up there
// sooner than it is fetched. What is fetched for nothing is paid for.
func (s *Scheduler) waitsForImage(j *job, list []*machineState, now clock.Micros) bool {
	fetch, ok := s.fetchTime(j, list[0])
	if !s.timing.Economy || !s.capacityByImage[j.Image].hasMachines() || !ok || len(list)*8 >= s.indexedMachines {
		return false
	}
	if within, ok := s.timing.Waits[j.Class]; ok && now+fetch > j.acceptedAt+within-fetch/2 {
		return false // a moment lost is a start too late
	}
	if j.noImageSince == 0 {
		j.noImageSince = now
	}
	return now < j.noImageSince+min(fetch, maxImageWait)
}

// onDemandMachines picks the machines that the cloud does not take back.
func onDemandMachines(list []*machineState) (out []*machineState) {
	for _, m := range list {
		if !m.Spot {
			out = append(out, m)
		}
	}
	return out
}

// isSmall tells that a job's tasks are isSmall beside the largest about.
func (s *Scheduler) isSmall(j *job) bool {
	return s.largestTaskCPU > 0 && j.Need.CPU*2 <= s.largestTaskCPU
}

// keepingLargeSlots picks the machines where a small task takes no place from a large
// one: as many large tasks fit there with it as without.
func (s *Scheduler) keepingLargeSlots(j *job, list []*machineState) (out []*machineState) {
	if !s.isSmall(j) {
		return nil
	}
	for _, m := range list {
		if m.available.CPU/s.largestTaskCPU == (m.available.CPU-j.Need.CPU)/s.largestTaskCPU {
			out = append(out, m)
		}
	}
	return out
}

// largestTask is the most CPUs that any task takes that waits or is seen running.
func (s *Scheduler) largestTask(list []*job) (big int64) {
	for _, j := range list {
		big = max(big, j.Need.CPU)
	}
	for cpu := range s.tasksByCPU {
		big = max(big, cpu)
	}
	return big
}

// prefers compares two machines for a task. Small tasks gather on the same
// machines, in a fixed order, so that the others empty as a whole and large
// tasks find them; those take what is left with least room, from the other end.
// Each team has an order of its own: placers that decide at the same time would
// ask for the same room otherwise.
func (s *Scheduler) prefers(j *job, a, b *machineState) bool {
	if a.Spot != b.Spot {
		// Economy empties the dear machines. But a job that would be late if a
		// machine were taken from it keeps to those that are not taken, and
		// leaves them to such jobs otherwise.
		return a.Spot != s.cannotAffordRetry(j)
	}
	if j.Need.CPU*2 >= a.Cap.CPU || j.Need.CPU*2 >= b.Cap.CPU {
		if x, y := a.available.Minus(j.Need).CPU, b.available.Minus(j.Need).CPU; x != y {
			return x < y
		}
		return a.ID > b.ID
	}
	if a.Cap.CPU != b.Cap.CPU {
		return a.Cap.CPU > b.Cap.CPU
	}
	return j.team.machineOrder(a) < j.team.machineOrder(b)
}

// cannotAffordRetry tells that the time for a job leaves none to notice that a machine
// was taken and run its tasks once more.
func (s *Scheduler) cannotAffordRetry(j *job) bool {
	twice := clock.FromSeconds(2*j.RuntimeEstimateS) + s.timing.Lease
	within, ok := s.timing.Finishes[j.Class]
	return ok && within < twice || j.DeadlineS != nil && clock.FromSeconds(*j.DeadlineS) < twice
}

// machineOrder is a machine's place in the order in which a team's small tasks gather.
func (tm *team) machineOrder(m *machineState) uint64 {
	return (m.nameHash ^ tm.orderSalt) * 0x9E3779B97F4A7C15
}

func nameHash(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// imageFetchTooSlow tells that a task can start in time on a machine that has its image,
// and not on one that must fetch it.
func (s *Scheduler) imageFetchTooSlow(j *job, m *machineState, now clock.Micros) bool {
	within, ok := s.timing.Waits[j.Class]
	fetch, known := s.fetchTime(j, m)
	return ok && known && now <= j.acceptedAt+within && now+fetch > j.acceptedAt+within
}

// fetchTime is how long a machine's type takes to fetch a job's image; ok is
// false while that is not known.
func (s *Scheduler) fetchTime(j *job, m *machineState) (fetch clock.Micros, ok bool) {
	rate := s.fetchRates[m.Type]
	if rate <= 0 {
		return 0, false
	}
	return clock.FromSeconds(j.ImageGB / rate), true
}

func (s *Scheduler) sample(from []*machineState, n int) []*machineState {
	if len(from) <= n {
		return from
	}
	for i := range n {
		k := i + s.rng.IntN(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:n]
}
