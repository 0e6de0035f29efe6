package partition

import (
	"slices"
	"strings"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// view returns a machine as a scheduler's poll shows it, with the changes since the version that the scheduler knows.
func (s *State) view(m *machine, after uint64, now clock.Micros) peer.MachineView {
	_, leased := m.resourcesInUse()
	v := peer.MachineView{
		ID:        m.id,
		Part:      m.partition,
		Term:      s.terms[m.partition],
		Version:   m.version,
		Type:      m.Type,
		Zone:      m.Zone,
		Spot:      m.Spot,
		Cap:       m.capacity,
		Free:      m.capacity.Minus(leased),
		Accounted: m.accounted || m.worker.lost(),
		Usable:    m.usable(now),
		Draining:  m.draining,
		Silent:    m.worker.lost(),
		Overdue:   m.worker.overdue,
		Noticed:   m.eviction.given,
		Sick:      m.failures.quarantined,
		Count:     len(m.tasks),
		Whole:     after < m.removed.completeSince,
	}
	if m.eviction.given {
		v.NoticeLeft = max(0, m.eviction.at-now)
	}
	if len(m.tasks) == 0 {
		v.Idle = now - m.idleSince
	}
	if v.Whole || m.images.version > after {
		v.Images = m.images.names
	}
	m.addTaskViews(&v, after, now)
	return v
}

// addTaskViews adds to a view the machine's tasks that changed after a version and the ids of those that were removed
// since. If some removed tasks are no longer remembered, it adds all of the machine's tasks instead.
func (m *machine) addTaskViews(v *peer.MachineView, after uint64, now clock.Micros) {
	if v.Whole {
		after = 0
	}
	for _, t := range m.tasksByAge(after) {
		v.Tasks = append(v.Tasks, peer.TaskView{
			ID:       t.id,
			Team:     t.team,
			Rank:     t.priority,
			Need:     t.need,
			Phase:    t.phase,
			Cause:    t.cause,
			Stopping: t.stopping,
			Covered:  t.withinGuarantee,
			Since:    now - t.addedAt,
			Held:     t.held,
		})
	}
	if v.Whole {
		return
	}
	for _, d := range m.removed.tasks {
		if d.version > after {
			v.Left = append(v.Left, d.id)
		}
	}
}

// HandlePoll returns the machines that changed after a scheduler's cursor, in the order of their ids from in.AfterID
// on, and at most in.Most of them unless that is 0.
func (s *State) HandlePoll(in peer.PollRequest, processID string, now clock.Micros) peer.PollResponse {
	s.teamTerms.fence(in.Terms)
	s.updateDemands(in.Demands, now)
	out := peer.PollResponse{Incarnation: processID, Cursor: s.changes.version, Parts: s.PartitionTerms(), Holds: true}
	after := in.Cursor
	if in.Incarnation != processID {
		after, out.Full = 0, true
	}
	changed := s.changes.since(after, in.AfterID)
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
