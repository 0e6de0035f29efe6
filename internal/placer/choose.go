package placer

import (
	"cmp"
	"hash/fnv"
	"math"
	"slices"
	"sort"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/res"
)

// uncleared lists how much of a team's work machines could hold that are not accounted for.
func (d *Desk) uncleared(tm *team) (n int, room res.Amounts) {
	for id := range tm.strange {
		n++
		if m := d.machines[id]; m != nil && m.Cap.CPU > 0 {
			room = room.Plus(m.Cap)
		} else {
			room = room.Plus(d.largest())
		}
	}
	return n, room
}

// largest is the most that any machine seen offers.
func (d *Desk) largest() res.Amounts {
	out := res.Amounts{CPU: 1e9, GPU: 0, Mem: 1e9} // a thousand CPUs, before any was seen
	seen := false
	for _, m := range d.machines {
		if !seen {
			out, seen = m.Cap, true
			continue
		}
		out = res.Amounts{CPU: max(out.CPU, m.Cap.CPU), GPU: max(out.GPU, m.Cap.GPU), Mem: max(out.Mem, m.Cap.Mem)}
	}
	return out
}

func within(a, limit res.Amounts) bool {
	return (limit.CPU == 0 || a.CPU <= limit.CPU) && (limit.GPU == 0 || a.GPU <= limit.GPU)
}

func (j *job) due() clock.Micros {
	if j.DueS == nil {
		return math.MaxInt64
	}
	return j.since + clock.FromSeconds(*j.DueS)
}

// cover marks the jobs that are within the team's guarantee: each fits there
// together with the team's earlier unfinished jobs.
func (tm *team) cover() {
	if tm.Guarantee.CPU == 0 && tm.Guarantee.GPU == 0 {
		return
	}
	list := make([]*job, 0, len(tm.jobs))
	for _, j := range tm.jobs {
		list = append(list, j)
	}
	sort.Slice(list, func(a, b int) bool { return list[a].Stamp < list[b].Stamp })
	var sum res.Amounts
	for _, j := range list {
		sum = sum.Plus(j.Need.Times(int64(j.Tasks)))
		j.covered = sum.CPU <= tm.Guarantee.CPU && sum.GPU <= tm.Guarantee.GPU
	}
}

// order sorts the jobs that have tasks to place: what can still meet its
// deadline first, by rank, guarantee, deadline and age; then what can still be
// in time by the longer measure that an objective sets, in the same order; then
// what is late, the longest tasks first.
func (d *Desk) order(now clock.Micros) []*job {
	var out []*job
	for _, tm := range d.teams {
		tm.cover()
		for _, j := range tm.jobs {
			if !j.cancelling && !j.finishing && j.waiting() > 0 && now >= j.backoff {
				out = append(out, j)
			}
		}
	}
	sort.Slice(out, func(a, b int) bool {
		x, y := out[a], out[b]
		lx, ly := d.lateness(x, now), d.lateness(y, now)
		if lx != ly {
			return lx < ly
		}
		if lx == hopeless && x.EstimateS != y.EstimateS {
			return x.EstimateS > y.EstimateS
		}
		if x.Level != y.Level {
			return x.Level > y.Level
		}
		if x.covered != y.covered {
			return x.covered
		}
		// Of work with deadlines the smallest rests go first, so that most jobs are in
		// time: what waits longer than by plan waits for machines that can't be had.
		if u, v := x.remaining(), y.remaining(); x.DueS != nil && y.DueS != nil && u != v {
			return u < v
		}
		if x.due() != y.due() {
			return x.due() < y.due()
		}
		if fx, fy := d.finish(x), d.finish(y); fx != fy {
			return fx < fy
		}
		return x.Stamp < y.Stamp
	})
	return out
}

// finish is when a job's tasks should start so that it is finished within its
// class's time: of jobs without a deadline, those with long tasks can wait least.
func (d *Desk) finish(j *job) clock.Micros {
	within, ok := d.timing.Finishes[j.Class]
	if !ok {
		return math.MaxInt64
	}
	return j.since + within - clock.FromSeconds(j.EstimateS)
}

// remaining is the work of a job that waits, in CPU seconds.
func (j *job) remaining() float64 {
	return float64(j.waiting()) * j.Need.CPUs() * max(j.EstimateS, 1)
}

// late tells that a job can't meet its deadline any more.
func (j *job) late(now clock.Micros) bool {
	return j.DueS != nil && j.ends(now) > j.due()
}

// ends is when a job's last task may be over at best.
func (j *job) ends(now clock.Micros) clock.Micros { return now + clock.FromSeconds(j.EstimateS*0.7) }

// How late a job is.
const (
	inTime   = iota
	overdue  // but not by the longer measure of its class's objectives
	hopeless // nothing is left to be in time for but the end of all
)

func (d *Desk) lateness(j *job, now clock.Micros) int {
	if !j.late(now) {
		return inTime
	}
	if j.ends(now) <= j.since+clock.FromSeconds(*j.DueS*d.timing.Times[j.Class]) {
		return overdue
	}
	return hopeless
}

// Place decides on asks for one round of decisions. What it decides waits in
// the owners' next rounds. The batch widens with what waits.
func (d *Desk) Place(now clock.Micros) (placed int) {
	list := d.order(now)
	for _, tm := range d.teams {
		tm.unknown, tm.held = d.uncleared(tm)
	}
	waiting := 0
	for _, j := range list {
		waiting += j.waiting()
	}
	batch := d.timing.Batch + waiting/4
	d.big = d.largestTask(list)
	d.full = full{}
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

func (d *Desk) placeJob(j *job, most int, now clock.Micros) (placed int) {
	if j.parked && j.team.unknown == 0 && j.mark >= j.former {
		j.unpark()
	}
	for placed < most {
		if !within(j.team.used.Plus(j.team.held).Plus(j.Need), j.team.Limit) {
			d.makeWay(j, now)
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
		o.next.Asks = append(o.next.Asks, peer.Ask{ID: b.id, Team: j.team.Name, Rank: j.Level, Need: j.Need, Image: j.Image, ImageGB: j.ImageGB,
			Machine: m.ID, Term: m.Term, Victims: victims, Over: over, Covered: j.covered})
		placed++
	}
	return placed
}

// makeWay stops tasks of lower rank of the job's own team, where the team's
// limit leaves no room for it. It is placed once they are gone for certain.
func (d *Desk) makeWay(j *job, now clock.Micros) {
	if j.stalled == 0 {
		j.stalled = now
	}
	if j.late(now) || !d.waitedOut(j, now) {
		return
	}
	used := j.team.used.Plus(j.team.held)
	var cand []*binding
	for _, o := range j.team.jobs {
		for _, b := range o.bound {
			switch {
			case b.stopping:
				used = used.Minus(o.Need)
			case o.Level < j.Level && !b.asked:
				cand = append(cand, b)
			}
		}
	}
	sort.Slice(cand, func(a, b int) bool {
		if cand[a].since != cand[b].since {
			return cand[a].since > cand[b].since
		}
		return cand[a].id.String() < cand[b].id.String()
	})
	wanted := j.Need.Times(int64(j.waiting()))
	for _, b := range cand {
		if within(used.Plus(wanted), j.team.Limit) {
			return
		}
		used = used.Minus(b.job.Need)
		d.counts.Preempted++
		d.stop(b, b.job.Grace())
	}
}

// waitedOut tells that a job has waited long enough to take room from others.
func (d *Desk) waitedOut(j *job, now clock.Micros) bool {
	return j.stalled != 0 && now >= j.stalled+d.timing.PreemptAfter
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

// choose draws a small sample of the machines that showed room and takes the
// best fit: of those that have the image, if any, one where a small task takes no
// place from a large one, if any, and of these the one that is better.
func (d *Desk) choose(j *job, now clock.Micros) (*mirror, []peer.TaskID, bool) {
	var list []*mirror
	searched := !d.full.knows(j)
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
		// Without thrift the machines that are not taken are its own, also in pieces.
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

// patient tells that a job of a thrifty deployment should leave scarce room to
// others for a moment: its image is on some machines, and room may come up there
// sooner than it is fetched. What is fetched for nothing is paid for.
func (d *Desk) patient(j *job, list []*mirror, now clock.Micros) bool {
	fetch, ok := d.fetchTime(j, list[0])
	if !d.timing.Economy || !d.imaged[j.Image].any() || !ok || len(list)*8 >= d.shelved {
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
func (d *Desk) small(j *job) bool { return d.big > 0 && j.Need.CPU*2 <= d.big }

// harmless picks the machines where a small task takes no place from a large
// one: as many large tasks fit there with it as without.
func (d *Desk) harmless(j *job, list []*mirror) (out []*mirror) {
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
func (d *Desk) largestTask(list []*job) (big int64) {
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
func (d *Desk) better(j *job, a, b *mirror) bool {
	if a.Spot != b.Spot {
		// Thrift empties the dear machines. But a job that would be late if a
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
func (d *Desk) fragile(j *job) bool {
	twice := clock.FromSeconds(2*j.EstimateS) + d.timing.Lease
	within, ok := d.timing.Finishes[j.Class]
	return ok && within < twice || j.DueS != nil && clock.FromSeconds(*j.DueS) < twice
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
func (d *Desk) hurried(j *job, m *mirror, now clock.Micros) bool {
	within, ok := d.timing.Waits[j.Class]
	fetch, known := d.fetchTime(j, m)
	return ok && known && now <= j.since+within && now+fetch > j.since+within
}

// fetchTime is how long a machine's type takes to fetch a job's image; ok is
// false while that is not known.
func (d *Desk) fetchTime(j *job, m *mirror) (fetch clock.Micros, ok bool) {
	rate := d.fetch[m.Type]
	if rate <= 0 {
		return 0, false
	}
	return clock.FromSeconds(j.ImageGB / rate), true
}

func (d *Desk) draw(from []*mirror, n int) []*mirror {
	if len(from) <= n {
		return from
	}
	for i := range n {
		k := i + d.rng.IntN(len(from)-i)
		from[i], from[k] = from[k], from[i]
	}
	return from[:n]
}

// preemptStep is how much lost work makes a difference: below it, small tasks
// gather where they do otherwise.
const preemptStep = 5 * clock.Second

// preempt looks for room that tasks of lower rank hold or, for a job within
// its team's guarantee, tasks that other teams run beyond theirs; the least
// work is lost. Work that is late already takes no room from others: it would
// be as late, and what it stops would be late too. Like any search, it looks at
// some of the machines in question, not at the fleet.
func (d *Desk) preempt(j *job, in *rooms, now clock.Micros) (best *mirror, victims []peer.TaskID, over bool) {
	if in == nil || j.late(now) {
		return nil, nil, false
	}
	// Work of higher rank goes first, but a guarantee is not put off for long:
	// while nothing at all of it finds room.
	owed := d.timing.Guarantee > 0 && j.dry != 0 && now >= j.dry+d.timing.Guarantee*3/5
	most := j.Level - 1 // the highest rank that may be stopped
	if j.covered && owed {
		most = len(d.ranks) - 1
	} else if j.covered {
		most = j.Level
	}
	if !someRank(&d.ranks, most) || d.full.knowsVictims(j, owed) {
		return nil, nil, false
	}
	var bestCost clock.Micros
	looked := 0
	in.walk(0, d.rng.Uint64(), func(m *mirror) bool {
		d.counts.Looked++
		if !someRank(&m.ranks, most) || now < j.failedOn[m.ID] || !j.allowed(m) {
			return false
		}
		looked++
		v, cost, o := d.victims(j, m, owed, now)
		if len(v) > 0 && (best == nil || cost/preemptStep < bestCost/preemptStep ||
			cost/preemptStep == bestCost/preemptStep && d.better(j, m, best)) {
			best, victims, bestCost, over = m, v, cost, o
		}
		// What has hardly begun is as good a choice as any.
		return looked >= 8*d.timing.Sample || best != nil && bestCost < preemptStep
	})
	if best == nil && in == &d.rooms {
		d.full.noteVictims(j, owed)
	}
	return best, victims, over
}

// someRank tells that there are tasks of a rank up to the given one.
func someRank(ranks *[4]int, most int) bool {
	for r := 0; r <= most; r++ {
		if ranks[r] > 0 {
			return true
		}
	}
	return false
}

// victims picks the tasks to stop on a machine to make room for one of a job;
// none when that makes no room.
func (d *Desk) victims(j *job, m *mirror, owed bool, now clock.Micros) (out []peer.TaskID, cost clock.Micros, over bool) {
	var cand []*seen
	for _, t := range m.tasks {
		if !t.there || t.Stopping || now < t.markedUntil || t.Team == "" || t.Covered && t.Rank >= j.Level {
			continue
		}
		if t.Rank < j.Level || j.covered && t.Team != j.team.Name && (t.Rank == j.Level || owed) {
			cand = append(cand, t)
		}
	}
	slices.SortFunc(cand, func(a, b *seen) int {
		if a.Covered != b.Covered && a.Rank == b.Rank {
			if b.Covered {
				return -1
			}
			return 1
		}
		return cmp.Or(cmp.Compare(a.Rank, b.Rank), cmp.Compare(b.began, a.began), cmp.Compare(a.ID.Attempt, b.ID.Attempt))
	})
	free := m.free
	for _, t := range cand {
		if j.Need.Fits(free) {
			break
		}
		free = free.Plus(t.Need)
		out = append(out, t.ID)
		cost += now - t.began + clock.Second
		over = over || t.Rank >= j.Level
		if t.Covered {
			cost += 100 * clock.Second // what is guaranteed goes last
		}
	}
	if over {
		cost += 1000 * clock.Second // lower ranks first
	}
	if !j.Need.Fits(free) {
		return nil, 0, false
	}
	return out, cost, over
}
