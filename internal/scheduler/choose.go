package scheduler

import (
	"hash/fnv"
	"slices"
	"sync"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// uncleared lists how much of a team's work machines could hold that are not accounted
// for. Those that were not seen yet count as the largest machine there is.
func (d *Scheduler) uncleared(tm *team, largest func() resources.Amounts) (n int, room resources.Amounts) {
	for id := range tm.strange {
		n++
		if m := d.machines[id]; m != nil && m.Cap.CPU > 0 {
			room = room.Plus(m.Cap)
		} else {
			room = room.Plus(largest())
		}
	}
	return n, room
}

// largest is the most that any machine seen offers.
func (d *Scheduler) largest() resources.Amounts {
	out := resources.Amounts{CPU: 1e9, GPU: 0, Mem: 1e9} // a thousand CPUs, before any was seen
	d.counts.Looked += len(d.machines)
	seen := false
	for _, m := range d.machines {
		if !seen {
			out, seen = m.Cap, true
			continue
		}
		out = resources.Amounts{CPU: max(out.CPU, m.Cap.CPU), GPU: max(out.GPU, m.Cap.GPU), Mem: max(out.Mem, m.Cap.Mem)}
	}
	return out
}

func within(a, limit resources.Amounts) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) && (limit.GPU == 0 || a.GPU <= limit.GPU)
}

// Schedule decides on asks for one round of decisions. What it decides waits in
// the owners' next rounds. The batch widens with what waits.
func (d *Scheduler) Schedule(now clock.Micros) (placed int) {
	d.weighShares(now)
	d.moveTasks(now)
	list := d.order(now)
	// After a restart no machine was seen yet: the largest is looked for once a round at
	// most, and not for each machine anew.
	largest := sync.OnceValue(d.largest)
	for _, tm := range d.teams {
		tm.unknown, tm.held = d.uncleared(tm, largest)
	}
	waiting := 0
	for _, j := range list {
		waiting += j.waiting()
	}
	batch := d.timing.Batch + waiting/4
	d.big = d.largestTask(list)
	d.full = full{staged: len(d.zones) > 0}
	for _, j := range list {
		// However much else goes first, no job's first task waits for ever.
		if !j.begun() && now >= j.since+beginWithin {
			placed += d.placeJob(j, 1, now)
		}
	}
	for _, j := range list {
		if placed >= batch {
			break
		}
		placed += d.placeJob(j, batch-placed, now)
	}
	return placed
}

// beginWithin is how long a job may wait for its first task before that one goes
// before all else.
const beginWithin = 150 * clock.Second

// begun tells that some task of a job is, was, or may have been on a machine.
func (j *job) begun() bool { return len(j.bound) > 0 || j.doneCount > 0 || j.lastStart > 0 }

func (d *Scheduler) placeJob(j *job, most int, now clock.Micros) (placed int) {
	if j.parked && j.team.unknown == 0 && j.watermark >= j.former {
		j.unpark()
	}
	for placed < most {
		if !within(j.team.used.Plus(j.team.held).Plus(j.Need), j.team.Limit) {
			d.preemptOwn(j, now)
			return placed
		}
		t := j.take()
		if t < 0 {
			if j.waiting() == 0 {
				j.stalled = 0
			}
			return placed
		}
		m, victims, over := d.choose(j, now)
		if m == nil {
			j.queue = append([]int{t}, j.queue...)
			if j.stalled == 0 {
				j.stalled = now
			}
			if j.dry == 0 {
				j.dry = now
			}
			return placed
		}
		j.dry = 0
		// A job that is placed bit by bit as others' tasks end is stalled all the
		// same until all of it is placed: on a large fleet there is always a bit.
		j.asked = true
		j.team.counter++
		d.counts.Placed++
		d.counts.Preempted += len(victims)
		b := &binding{id: peer.TaskID{Job: j.ID, N: t, Attempt: j.team.term<<32 | j.team.counter}, job: j, machine: m.ID,
			zone: m.Zone, term: m.Term, asked: true, instance: m.instance, since: now}
		d.bind(b, m)
		m.free = m.free.Minus(j.Need)
		if fetch, ok := d.fetchTime(j, m); ok && !slices.Contains(m.Images, j.Image) {
			m.fetchUntil, m.fetchImage = now+fetch, j.Image
		}
		for _, v := range victims {
			// Room that is being made is spoken for: the mirror shows it as taken.
			if t := m.tasks[v]; t != nil {
				t.markedUntil = now + 2*clock.Second
				m.free = m.free.Plus(t.Need)
			}
		}
		d.index(m)
		o := d.owners[m.host]
		o.next.Asks = append(o.next.Asks, peer.Assignment{ID: b.id, Made: j.ModRevision, Team: j.team.Name, Rank: j.PriorityLevel, Need: j.Need, Image: j.Image, ImageGB: j.ImageGB,
			Machine: m.ID, Term: m.Term, Victims: victims, Over: over, Covered: j.covered,
			Stage: int(j.stage) + 1})
		placed++
	}
	return placed
}

// allowed tells whether a machine may take one more task of a job, given where
// the others are or may be.
func (j *job) allowed(m *mirror) bool {
	if m.Spot && !j.Spot || j.Zone != "" && m.Zone != j.Zone || len(j.Types) > 0 && !slices.Contains(j.Types, m.Type) {
		return false
	}
	if j.OneZone {
		for z, n := range j.zones {
			if n > 0 && z != m.Zone {
				return false
			}
		}
	}
	if j.Spread && j.zones[m.Zone]+1 > (j.Tasks+1)/2 {
		return false
	}
	return true
}

// mayAsk tells whether a machine may be asked for room for a task of a job now.
func (d *Scheduler) mayAsk(j *job, m *mirror, now clock.Micros) bool {
	return now >= j.failedOn[m.ID] && j.allowed(m) && !j.yields(m.host, now) && !j.returns(m, d.zones, now)
}

// choose draws a small sample of the machines that showed room and takes the
// best fit: of those that have the image, if any, one where a small task takes no
// place from a large one, if any, and of these the one that is better.
func (d *Scheduler) choose(j *job, now clock.Micros) (*mirror, []peer.TaskID, bool) {
	var list []*mirror
	searched := !d.full.knows(j)
	if searched && d.timing.Costs != nil {
		if m, decided := d.weigh(j, now); decided {
			return m, nil, false
		}
	}
	if searched {
		list = d.find(j, d.imaged[j.Image], now)
	}
	bare := len(list) == 0
	if !bare {
		j.bareSince = 0
	}
	if searched && bare {
		if list = d.find(j, &d.rooms, now); len(list) > 0 && d.hurried(j, list[0], now) {
			// The fetch alone would make the task late: room on a machine that has
			// the image is worth a task that has hardly begun.
			if m, victims, over := d.preempt(j, d.imaged[j.Image], now); m != nil && !over {
				return m, victims, over
			}
		}
		if len(list) > 0 && d.patient(j, list, now) {
			return nil, nil, false
		}
	}
	if len(list) == 0 {
		if d.waitedOut(j, now) {
			if m, victims, over := d.preempt(j, &d.rooms, now); m != nil {
				return m, victims, over
			}
		}
		if searched {
			d.full.note(j)
		}
		return nil, nil, false
	}
	prefer := func(some []*mirror) {
		if len(some) > 0 {
			list = some
		}
	}
	if !d.timing.Economy && d.fragile(j) {
		// Without economy the machines that are not taken are its own, also in pieces.
		prefer(ordinary(list))
	}
	if _, hasty := d.timing.Waits[j.Class]; bare && hasty {
		// To start soon counts for more than to leave large pieces whole.
		prefer(calm(j, list, now))
	}
	prefer(d.harmless(j, list))
	if bare {
		prefer(calm(j, list, now))
	}
	if !d.small(j) {
		list = d.draw(list, d.timing.Sample)
	}
	var best *mirror
	for _, m := range list {
		if best == nil || d.better(j, m, best) {
			best = m
		}
	}
	return best, nil, false
}

// patience is the longest that a job leaves scarce room to others.
const patience = 8 * clock.Second

// patient tells that a job of a economical deployment should leave scarce room to
// others for a moment: its image is on some machines, and room may come up there
// sooner than it is fetched. What is fetched for nothing is paid for.
func (d *Scheduler) patient(j *job, list []*mirror, now clock.Micros) bool {
	fetch, ok := d.fetchTime(j, list[0])
	if !d.timing.Economy || !d.imaged[j.Image].any() || !ok || len(list)*8 >= d.indexed {
		return false
	}
	if within, ok := d.timing.Waits[j.Class]; ok && now+fetch > j.since+within-fetch/2 {
		return false // a moment lost is a start too late
	}
	if j.bareSince == 0 {
		j.bareSince = now
	}
	return now < j.bareSince+min(fetch, patience)
}

// ordinary picks the machines that the cloud does not take back.
func ordinary(list []*mirror) (out []*mirror) {
	for _, m := range list {
		if !m.Spot {
			out = append(out, m)
		}
	}
	return out
}

// small tells that a job's tasks are small beside the largest about.
func (d *Scheduler) small(j *job) bool { return d.big > 0 && j.Need.CPU*2 <= d.big }

// harmless picks the machines where a small task takes no place from a large
// one: as many large tasks fit there with it as without.
func (d *Scheduler) harmless(j *job, list []*mirror) (out []*mirror) {
	if !d.small(j) {
		return nil
	}
	for _, m := range list {
		if m.free.CPU/d.big == (m.free.CPU-j.Need.CPU)/d.big {
			out = append(out, m)
		}
	}
	return out
}

// largestTask is the most CPUs that any task takes that waits or is seen running.
func (d *Scheduler) largestTask(list []*job) (big int64) {
	for _, j := range list {
		big = max(big, j.Need.CPU)
	}
	for cpu := range d.sizes {
		big = max(big, cpu)
	}
	return big
}

// better compares two machines for a task. Small tasks gather on the same
// machines, in a fixed order, so that the others empty as a whole and large
// tasks find them; those take what is left with least room, from the other end.
// Each team has an order of its own: placers that decide at the same time would
// ask for the same room otherwise.
func (d *Scheduler) better(j *job, a, b *mirror) bool {
	if a.Spot != b.Spot {
		// Economy empties the dear machines. But a job that would be late if a
		// machine were taken from it keeps to those that are not taken, and
		// leaves them to such jobs otherwise.
		return a.Spot != d.fragile(j)
	}
	if j.Need.CPU*2 >= a.Cap.CPU || j.Need.CPU*2 >= b.Cap.CPU {
		if x, y := a.free.Minus(j.Need).CPU, b.free.Minus(j.Need).CPU; x != y {
			return x < y
		}
		return a.ID > b.ID
	}
	if a.Cap.CPU != b.Cap.CPU {
		return a.Cap.CPU > b.Cap.CPU
	}
	return j.team.turn(a) < j.team.turn(b)
}

// fragile tells that the time for a job leaves none to notice that a machine
// was taken and run its tasks once more.
func (d *Scheduler) fragile(j *job) bool {
	twice := clock.FromSeconds(2*j.RuntimeEstimateS) + d.timing.Lease
	within, ok := d.timing.Finishes[j.Class]
	return ok && within < twice || j.DeadlineS != nil && clock.FromSeconds(*j.DeadlineS) < twice
}

// turn is a machine's place in the order in which a team's small tasks gather.
func (tm *team) turn(m *mirror) uint64 { return (m.hash ^ tm.salt) * 0x9E3779B97F4A7C15 }

func hashOf(name string) uint64 {
	h := fnv.New64a()
	h.Write([]byte(name))
	return h.Sum64()
}

// hurried tells that a task can start in time on a machine that has its image,
// and not on one that must fetch it.
func (d *Scheduler) hurried(j *job, m *mirror, now clock.Micros) bool {
	within, ok := d.timing.Waits[j.Class]
	fetch, known := d.fetchTime(j, m)
	return ok && known && now <= j.since+within && now+fetch > j.since+within
}

// fetchTime is how long a machine's type takes to fetch a job's image; ok is
// false while that is not known.
func (d *Scheduler) fetchTime(j *job, m *mirror) (fetch clock.Micros, ok bool) {
	rate := d.fetch[m.Type]
	if rate <= 0 {
		return 0, false
	}
	return clock.FromSeconds(j.ImageGB / rate), true
}

func (d *Scheduler) draw(from []*mirror, n int) []*mirror {
	if len(from) <= n {
		return from
	}
	for i := range n {
		k := i + d.rng.IntN(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:n]
}
