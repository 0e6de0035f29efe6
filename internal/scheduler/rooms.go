package scheduler

import (
	"math/bits"
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// bucket is a set of machines. Its order depends only on what was put in and taken out.
type bucket struct {
	list []*mirror
	at   map[*mirror]int
}

func (s *bucket) put(m *mirror) {
	if s.at == nil {
		s.at = map[*mirror]int{}
	}
	s.at[m] = len(s.list)
	s.list = append(s.list, m)
}

func (s *bucket) take(m *mirror) {
	i, last := s.at[m], len(s.list)-1
	s.list[i] = s.list[last]
	s.at[s.list[i]] = i
	s.list[last] = nil
	s.list = s.list[:last]
	delete(s.at, m)
}

// levels of free CPUs: less than 1, 1, 2 and 3, 4 to 7, and so on.
const levels = 14

func levelOf(cpu int64) int {
	if cpu <= 0 {
		return 0
	}
	return min(bits.Len64(uint64(cpu/1e6)), levels-1)
}

// rooms keeps machines by how many CPUs they show free, so that a search for
// room costs what it finds and not the fleet.
type rooms [levels]bucket

// walk visits the machines that show at least so many CPUs free, those with
// least room first and of a level from any one on, until visit has had enough.
func (r *rooms) walk(from int, start uint64, visit func(*mirror) (enough bool)) {
	for l := from; l < levels; l++ {
		list := r[l].list
		if len(list) == 0 {
			continue
		}
		first := int(start % uint64(len(list)))
		for i := range list {
			if visit(list[(first+i)%len(list)]) {
				return
			}
		}
	}
}

// any tells that there is a machine at all.
func (r *rooms) any() bool {
	for l := range levels {
		if r != nil && len(r[l].list) > 0 {
			return true
		}
	}
	return false
}

// ready tells that a machine may get tasks, as far as it and its owner are known.
func (d *Scheduler) ready(m *mirror) bool {
	return m.Usable && d.owned(m) && d.machines[m.ID] == m
}

// owned tells that what is known of a machine is the word of its present owner, and that this
// one can be reached.
func (d *Scheduler) owned(m *mirror) bool {
	o := d.owners[m.host]
	return o.up && o.instance == m.instance && o.parts[m.Part] == m.Term
}

// index puts a machine where its room and images belong. It is called after
// every change of what they depend on.
func (d *Scheduler) index(m *mirror) {
	on, level := d.ready(m), levelOf(m.free.CPU)
	if on == m.indexed && (!on || level == m.level && slices.Equal(m.Images, m.indexedImages)) {
		return
	}
	if m.indexed {
		d.rooms[m.level].take(m)
		for _, i := range m.indexedImages {
			d.imaged[i][m.level].take(m)
		}
		d.usable -= m.indexedCPU
		d.indexed--
	}
	m.indexed, m.level, m.indexedImages, m.indexedCPU = on, level, m.Images, m.Cap.CPU
	if !on {
		return
	}
	d.rooms[level].put(m)
	for _, i := range m.Images {
		if d.imaged[i] == nil {
			d.imaged[i] = &rooms{}
		}
		d.imaged[i][level].put(m)
	}
	d.usable += m.indexedCPU
	d.indexed++
}

// indexOf puts all of an owner's machines where they belong.
func (d *Scheduler) indexOf(host string) {
	for _, m := range d.machines {
		if m.host == host {
			d.index(m)
		}
	}
}

// up notes whether an owner can be reached.
func (d *Scheduler) up(host string, up bool) {
	if o := d.owners[host]; o.up != up {
		o.up = up
		d.indexOf(host)
	}
}

// setTask takes a task into a machine's mirror, unset takes it out.
func (d *Scheduler) setTask(m *mirror, t *seen) {
	d.unsetTask(m, t.ID)
	m.tasks[t.ID] = t
	if t.Phase == "" || t.Phase == wire.TaskFetching {
		m.fetching[t.ID.Job]++
	}
	if t.there = t.Phase != wire.TaskExited; t.there {
		m.ranks[t.Rank]++
		d.ranks[t.Rank]++
		d.sizes[t.Need.CPU]++
	}
}

func (d *Scheduler) unsetTask(m *mirror, id peer.TaskID) {
	t := m.tasks[id]
	if t == nil {
		return
	}
	delete(m.tasks, id)
	if t.Phase == "" || t.Phase == wire.TaskFetching {
		if m.fetching[id.Job]--; m.fetching[id.Job] == 0 {
			delete(m.fetching, id.Job)
		}
	}
	if t.there {
		m.ranks[t.Rank]--
		d.ranks[t.Rank]--
		if d.sizes[t.Need.CPU]--; d.sizes[t.Need.CPU] == 0 {
			delete(d.sizes, t.Need.CPU)
		}
	}
}

// calm picks the machines that fetch nothing now but the job's own image, as far
// as is known: images that are fetched side by side share a machine's rate, and
// all their tasks wait.
func calm(j *job, list []*mirror, now clock.Micros) (out []*mirror) {
	for _, m := range list {
		others := len(m.fetching)
		if m.fetching[j.ID] > 0 {
			others--
		}
		if others == 0 && (now >= m.fetchUntil || m.fetchImage == j.Image) {
			out = append(out, m)
		}
	}
	return out
}

// full remembers in a round of decisions what found no room: what asks for as
// much or more, and is as choosy or choosier, need not search again.
type full struct {
	needs   []resources.Amounts // of jobs that go anywhere
	jobs    map[*job]bool
	staged  bool               // work returns to a zone: what one job may not have another may
	victims map[victimsOf]bool // whose room was looked for in vain: of lower ranks, of other teams
}

// victimsOf is what decides, beside the room that a task needs, whose room it may take.
type victimsOf struct {
	need    resources.Amounts
	team    string
	level   int
	covered bool
	owed    bool
}

func (j *job) victims(owed bool) victimsOf {
	return victimsOf{j.Need, j.team.Name, j.PriorityLevel, j.covered, owed}
}

func (f *full) knowsVictims(j *job, owed bool) bool { return f.victims[j.victims(owed)] }

func (f *full) noteVictims(j *job, owed bool) {
	if !j.anywhere() || f.staged {
		return
	}
	if f.victims == nil {
		f.victims = map[victimsOf]bool{}
	}
	f.victims[j.victims(owed)] = true
}

// anywhere tells that nothing but room decides where the tasks of a job may go.
func (j *job) anywhere() bool {
	return j.Spot && j.Zone == "" && len(j.Types) == 0 && !j.OneZone && !j.Spread && len(j.failedOn) == 0
}

func (f *full) knows(j *job) bool {
	for _, n := range f.needs {
		if n.Fits(j.Need) {
			return true
		}
	}
	return f.jobs[j]
}

func (f *full) note(j *job) {
	if j.anywhere() && len(j.team.yielding) == 0 && !f.staged {
		f.needs = append(f.needs, j.Need)
	}
	if f.jobs == nil {
		f.jobs = map[*job]bool{}
	}
	f.jobs[j] = true
}

// refusedFor is how long a machine whose owner refused is kept from, unless news of it come before.
const refusedFor = 200 * clock.Millisecond

// find collects machines that have room for a task of a job, a few times as many
// as are drawn; for a small one many more, since it goes where its team gathers.
func (d *Scheduler) find(j *job, in *rooms, now clock.Micros) (out []*mirror) {
	if in == nil {
		return nil
	}
	most := 4 * d.timing.Sample
	if d.small(j) {
		most *= 10
	}
	in.walk(levelOf(j.Need.CPU), d.rng.Uint64(), func(m *mirror) bool {
		d.counts.Looked++
		if j.Need.Fits(m.free) && m.free.Mem > 0 && d.mayAsk(j, m, now) && !(m.refused && now < m.refusedAt+refusedFor) {
			out = append(out, m)
		}
		return len(out) >= most
	})
	return out
}

// findAll collects machines that have room for a task of a job, those with its image first.
func (d *Scheduler) findAll(j *job, now clock.Micros) []*mirror {
	list := d.find(j, d.imaged[j.Image], now)
	for _, m := range d.find(j, &d.rooms, now) {
		if !slices.Contains(list, m) {
			list = append(list, m)
		}
	}
	return list
}
