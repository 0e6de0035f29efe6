package partition

import (
	"cmp"
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// inOrder lists by age those of a machine's tasks that changed after a version.
func (m *machine) inOrder(after uint64) []*task {
	out := make([]*task, 0, len(m.tasks))
	for _, k := range m.tasks {
		if k.version > after {
			out = append(out, k)
		}
	}
	slices.SortFunc(out, func(a, b *task) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.id.Attempt, b.id.Attempt),
			cmp.Compare(a.id.Job, b.id.Job), cmp.Compare(a.id.N, b.id.N))
	})
	return out
}

// SetCaches tells how many GB of images the machine types keep.
func (t *State) SetCaches(gb map[string]float64) { t.caches = gb }

// maxImages bounds what is known of a machine's cache.
const maxImages = 48

// note takes an image that a machine has or is to fetch: it keeps the latest
// used, as many as its cache holds.
func (t *State) note(m *machine, image string, gb float64) {
	t.sizes[image] = gb
	if len(m.images) > 0 && m.images[0] == image {
		return
	}
	out := []string{image}
	room := t.caches[m.Type] - gb
	for _, i := range m.images {
		if i == image {
			continue
		}
		if room -= t.sizes[i]; room < 0 || len(out) == maxImages {
			break
		}
		out = append(out, i)
	}
	m.images = out
	t.touch(m)
	m.imagesAt = t.version
}

// view shows a machine to who knows it as of a version.
func (t *State) view(m *machine, after uint64, now clock.Micros) peer.MachineView {
	_, all := m.inUse()
	v := peer.MachineView{ID: m.id, Part: m.part, Term: t.parts[m.part], Version: m.version, Type: m.Type, Zone: m.Zone,
		Spot: m.Spot, Cap: m.cap, Free: m.cap.Minus(all), Accounted: m.accounted || m.silent || m.gone, Usable: m.usable(now),
		Draining: m.draining, Silent: m.silent || m.gone, Overdue: m.reportsOverdue, Noticed: m.noticed, Sick: m.sick,
		Count: len(m.tasks), Whole: after < m.floor}
	if m.noticed {
		v.NoticeLeft = max(0, m.takenAt-now)
	}
	if len(m.tasks) == 0 {
		v.Idle = now - m.idleSince
	}
	if v.Whole || m.imagesAt > after {
		v.Images = m.images
	}
	shown := after
	if v.Whole {
		shown = 0
	}
	for _, k := range m.inOrder(shown) {
		v.Tasks = append(v.Tasks, peer.TaskView{ID: k.id, Team: k.team, Rank: k.rank, Need: k.need, Phase: k.phase,
			Cause: k.cause, Stopping: k.stop, Covered: k.covered, Since: now - k.since,
			Held: k.held})
	}
	for _, d := range m.left {
		if !v.Whole && d.version > after {
			v.Left = append(v.Left, d.id)
		}
	}
	return v
}

// HandlePoll gives what changed after a cursor.
func (t *State) HandlePoll(in peer.PollRequest, incarnation string, now clock.Micros) peer.PollResponse {
	t.fence(in.Terms)
	t.hearDemands(in.Demands, now)
	out := peer.PollResponse{Incarnation: incarnation, Cursor: t.version, Parts: t.PartitionTerms(), Holds: true}
	after := in.Cursor
	if in.Incarnation != incarnation {
		after, out.Full = 0, true
	}
	var changed []*machine
	for e := t.changes.Back(); e != nil; e = e.Prev() {
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
		out.Machines = append(out.Machines, t.view(m, after, now))
	}
	if t.arbiter != nil && len(in.Demands) > 0 {
		out.Capacity, out.Standings = t.Standings(now)
	}
	return out
}

// Version is the table's present version.
func (t *State) Version() uint64 { return t.version }
