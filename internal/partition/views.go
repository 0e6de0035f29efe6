package partition

import (
	"cmp"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// tasksByAge lists by age those of a machine's tasks that changed after a version.
func (m *machine) tasksByAge(after uint64) []*task {
	out := make([]*task, 0, len(m.tasks))
	for _, t := range m.tasks {
		if t.version > after {
			out = append(out, t)
		}
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.addedAt, b.addedAt), cmp.Compare(a.id.Attempt, b.id.Attempt),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.N, b.id.N))
	})
	return out
}

// SetCaches tells how many GB of images the machine types keep.
func (s *State) SetCaches(gb map[string]float64) { s.imageCacheGB = gb }

// maxImages bounds what is known of a machine's cache.
const maxImages = 48

// recordImage takes an image that a machine has or is to fetch: it keeps the latest
// used, as many as its cache holds.
func (s *State) recordImage(m *machine, image string, gb float64) {
	s.imageSizeGB[image] = gb
	if len(m.images) > 0 && m.images[0] == image {
		return
	}
	out := []string{image}
	room := s.imageCacheGB[m.Type] - gb
	for _, i := range m.images {
		if i == image {
			continue
		}
		if room -= s.imageSizeGB[i]; room < 0 || len(out) == maxImages {
			break
		}
		out = append(out, i)
	}
	m.images = out
	s.markChanged(m)
	m.imagesVersion = s.version
}

// view shows a machine to who knows it as of a version.
func (s *State) view(m *machine, after uint64, now clock.Micros) peer.MachineView {
	_, all := m.resourcesInUse()
	v := peer.MachineView{ID: m.id, Part: m.partition, Term: s.terms[m.partition], Version: m.version, Type: m.Type, Zone: m.Zone,
		Spot: m.Spot, Cap: m.capacity, Free: m.capacity.Minus(all), Accounted: m.accounted || m.silent || m.gone, Usable: m.usable(now),
		Draining: m.draining, Silent: m.silent || m.gone, Overdue: m.heartbeatsOverdue, Noticed: m.evictionNoticed, Sick: m.quarantined,
		Count: len(m.tasks), Whole: after < m.completeSince}
	if m.evictionNoticed {
		v.NoticeLeft = max(0, m.evictionAt-now)
	}
	if len(m.tasks) == 0 {
		v.Idle = now - m.idleSince
	}
	if v.Whole || m.imagesVersion > after {
		v.Images = m.images
	}
	shown := after
	if v.Whole {
		shown = 0
	}
	for _, t := range m.tasksByAge(shown) {
		v.Tasks = append(v.Tasks, peer.TaskView{ID: t.id, Team: t.team, Rank: t.priority, Need: t.need, Phase: t.phase,
			Cause: t.cause, Stopping: t.stopping, Covered: t.withinGuarantee, Since: now - t.addedAt,
			Held: t.reserved})
	}
	for _, d := range m.departed {
		if !v.Whole && d.version > after {
			v.Left = append(v.Left, d.id)
		}
	}
	return v
}

// HandlePoll gives what changed after a cursor.
func (s *State) HandlePoll(in peer.PollRequest, incarnation string, now clock.Micros) peer.PollResponse {
	s.fenceTeams(in.Terms)
	s.updateDemands(in.Demands, now)
	out := peer.PollResponse{Incarnation: incarnation, Cursor: s.version, Parts: s.PartitionTerms(), Holds: true}
	after := in.Cursor
	if in.Incarnation != incarnation {
		after, out.Full = 0, true
	}
	var changed []*machine
	for e := s.changes.Back(); e != nil; e = e.Prev() {
		m := e.Value.(*machine)
		if m.version <= after {
			break
		}
		if m.id > in.AfterID {
			changed = append(changed, m)
		}
	}
	slices.SortFunc(changed, func(a, b *machine) int { return strings.Compare(a.id, b.id) })
	if in.Most > 0 && len(changed) > in.Most {
		changed, out.More = changed[:in.Most], true
	}
	for _, m := range changed {
		out.Machines = append(out.Machines, s.view(m, after, now))
	}
	if s.arbiter != nil && len(in.Demands) > 0 {
		out.Capacity, out.Standings = s.Standings(now)
	}
	return out
}

// Version is the table's present version.
func (s *State) Version() uint64 { return s.version }
