package scheduler

import (
	"maps"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// NextPoll gives the next poll for an owner. When a team's term is new to it,
// everything is asked for, so that the answer is given under that term's fence.
func (d *Scheduler) NextPoll(host string) peer.PollRequest {
	o := d.owners[host]
	in := peer.PollRequest{Incarnation: o.instance, Cursor: o.cursor, Terms: d.TeamTerms(), Gen: o.gen}
	for t, term := range in.Terms {
		if o.fenced[t] != term {
			in.Incarnation = ""
		}
	}
	if o.resync {
		in.Incarnation = ""
	}
	return in
}

// sweepEvery is how often an owner's partitions are held against all machines: a
// late word of a former owner may have brought one back that is gone.
const sweepEvery = 2 * clock.Second

// HandlePollResponse takes an owner's answer to a poll.
func (d *Scheduler) HandlePollResponse(host string, in peer.PollRequest, ans *peer.PollResponse, now clock.Micros) {
	o := d.owners[host]
	d.up(host, true)
	if ans.Incarnation != o.instance {
		if in.Gen != o.gen || !ans.Full {
			return // asked before the present process was met: the word of a former one
		}
		d.meet(o, ans.Incarnation)
	}
	if ans.Cursor < o.cursor {
		return // an answer older than one taken already
	}
	moved := !maps.Equal(o.parts, ans.Parts)
	o.cursor, o.parts = ans.Cursor, ans.Parts
	o.heardAt, o.holds = now, ans.Holds
	if len(ans.Standings) > 0 {
		o.shares = ownerShares{ans.Capacity, ans.Standings, now}
	}
	if ans.Full {
		o.resync = false
		for t, term := range in.Terms {
			if tm := d.teams[t]; tm != nil && tm.term == term {
				o.fenced[t] = term
			}
		}
	}
	for i := range ans.Machines {
		d.see(host, o, &ans.Machines[i], now)
	}
	if !moved && !ans.Full && now < o.swept+sweepEvery {
		return
	}
	o.swept = now
	for _, m := range d.machines {
		switch held := o.parts[m.Part]; {
		case held > m.Term:
			// This owner took over later than the view was made, has told all
			// machines that it found registered, and this one is not among
			// them: its record was dropped, so it was gone for certain.
			d.forgetMachine(m)
		case m.host == host && held != m.Term:
			m.Usable = false
		}
	}
	d.indexOf(host)
}

// meet notes the instance of an owner's process. A round that was on its way to
// a former process is over: what it asked for is settled by the machines' next owner.
func (d *Scheduler) meet(o *ownerState, instance string) {
	o.fenced = map[string]uint64{}
	o.parts = map[int]uint64{}
	o.cursor = 0
	o.instance = instance
	o.gen++
}

// MarkUnreachable notes that an owner can't be reached now.
func (d *Scheduler) MarkUnreachable(host string) { d.up(host, false) }

// see takes one machine's view and settles with it what it can.
func (d *Scheduler) see(host string, o *ownerState, v *peer.MachineView, now clock.Micros) {
	m := d.machines[v.ID]
	if m == nil {
		if v.Silent && !d.registry[v.ID] {
			return
		}
		m = &mirror{hash: hashOf(v.ID), bound: map[peer.TaskID]*binding{}, tasks: map[peer.TaskID]*seen{}, fetching: map[string]int{}}
		d.machines[v.ID] = m
	} else if v.Term < m.Term || v.Term == m.Term && m.instance == o.instance && v.Version < m.Version {
		return
	}
	images := m.Images
	m.MachineView, m.host, m.instance, m.seenAt = *v, host, o.instance, now
	if v.Images == nil && !v.Whole {
		m.Images = images
	}
	m.Tasks, m.Left, m.refused = nil, nil, false
	listed := make(map[peer.TaskID]bool, len(v.Tasks))
	for i := range v.Tasks {
		d.setTask(m, &seen{TaskView: v.Tasks[i], began: now - v.Tasks[i].Since})
		listed[v.Tasks[i].ID] = true
	}
	gone := v.Left
	if v.Whole {
		gone = nil
		for id := range m.tasks {
			if !listed[id] {
				gone = append(gone, id)
			}
		}
	}
	for _, id := range gone {
		if !listed[id] {
			d.unsetTask(m, id)
		}
	}
	if len(m.tasks) != v.Count {
		o.resync = true // should not be; a whole view puts it right
	}
	if v.Accounted {
		d.reconcile(o, m, v, gone, now)
	}
	d.refree(m)
	d.forgetSilent(m)
}

// reconcile compares what a view tells of an accounted machine's tasks with
// what is known of them.
func (d *Scheduler) reconcile(o *ownerState, m *mirror, v *peer.MachineView, gone []peer.TaskID, now clock.Micros) {
	for i := range v.Tasks {
		d.compare(o, m, &v.Tasks[i], now)
	}
	if v.Whole {
		for _, b := range m.inOrder() {
			d.checkGone(b, m)
		}
	} else {
		for _, id := range gone {
			if b := m.bound[id]; b != nil {
				d.checkGone(b, m)
			}
		}
	}
	for name, tm := range d.teams {
		if o.fenced[name] == tm.term && !tm.cleared[m.ID] && !m.foreign() {
			tm.cleared[m.ID] = true
			delete(tm.strange, m.ID)
		}
	}
}

// foreign tells that something is on a machine of which its owner knows neither the team
// nor what it takes: it was found, and its job is over. Any team may have it.
func (m *mirror) foreign() bool {
	for _, s := range m.tasks {
		if s.Team == "" && s.Phase != wire.TaskExited {
			return true
		}
	}
	return false
}

// checkGone releases a binding whose task is not on its accounted machine. That
// is certain when the view is newer than the grant, or comes from a later
// owner, to whom the ask can't be granted any more.
func (d *Scheduler) checkGone(b *binding, m *mirror) {
	if m.tasks[b.id] != nil {
		return
	}
	if m.Term > b.term || !b.asked && (m.instance != b.instance || m.Version >= b.version) {
		if !b.held {
			d.counts.Lost++
			b.job.again++
		}
		d.release(b)
	}
}
