package autoscaler

import (
	"context"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// listInterval is the time between two reads of the cloud's list. Reading more often brings little, since
	// the list may lag behind by more than that.
	listInterval = 3 * clock.Second
	// listRetryInterval is the time after which a failed read is retried.
	listRetryInterval = clock.Second
	// listFailureLogEvery is the number of consecutive failures per log event, since an outage lasts for many.
	listFailureLogEvery = 20
	// goneRetention is how long the ids of instances that are gone are kept. No list is older than that.
	goneRetention = 600 * clock.Second
	// absenceMargin is added to twice the list's lag before the absence of an instance counts, since the bounds
	// on lag and clock drift are not exact.
	absenceMargin = clock.Second
	// recordMargin is added to the bounds on lag and clock skew where wall clock times are compared.
	recordMargin = 2 * clock.Second
	// forgetMargin is added to three times the list's lag before an instance that was granted, and has not
	// appeared on the list, is dropped.
	forgetMargin = 2 * clock.Second
)

// instanceList holds what is known of the fleet's instances in a term, from the cloud's list and from its
// responses to requests. It does no I/O. The goroutine of Autoscaler.Run owns it.
//
// That an instance is absent from a list proves nothing in itself, since the list lags behind and the instance may be
// newer. But an instance that has been on the list stays on it until it is gone. So if a list describes a later moment
// than the first one that showed the instance, even if it is twice the lag old, and the instance is not on it, then the
// instance is gone with all tasks on it. The tasks can be placed again at once, without waiting for the worker's lease
// to expire (docs/design.md, "Why the rules hold", number 4).
type instanceList struct {
	maxLag  clock.Micros // bound on how far the cloud's list lags behind
	maxSkew clock.Micros // bound on the difference between the wall clocks of two controllers

	instances   map[string]Instance
	lastSeen    map[string]clock.Micros // start of the last read that listed the instance, or time of its request
	firstListed map[string]clock.Micros // arrival of the first page that listed the instance
	goneSince   map[string]clock.Micros // of instances that are gone and that an older list may still show
	listedAt    clock.Micros            // start of the last complete read of the list; 0: none in this term
}

// reset discards everything that is known, at the start of a term.
func (l *instanceList) reset() {
	l.instances = map[string]Instance{}
	l.lastSeen = map[string]clock.Micros{}
	l.firstListed = map[string]clock.Micros{}
	l.goneSince = map[string]clock.Micros{}
	l.listedAt = 0
}

// observePage adds the instances on one page of a list. The read of the list began at startedAt, and the page
// arrived at now. Instances that are known to be gone are ignored, since a lagging list may still show them.
func (l *instanceList) observePage(page []wire.Instance, startedAt, now clock.Micros) {
	for _, listed := range page {
		if l.goneSince[listed.ID] != 0 {
			continue
		}
		requestedAt := startedAt - clock.FromSeconds(listed.AgeS)
		known, ok := l.instances[listed.ID]
		if ok {
			requestedAt = min(known.RequestedAt, requestedAt)
		}
		l.instances[listed.ID] = Instance{
			InstanceKind:     InstanceKind{listed.Type, listed.Zone, listed.Spot},
			ID:               listed.ID,
			Phase:            listed.Phase,
			RequestedAt:      requestedAt,
			HeartbeatSeen:    known.HeartbeatSeen,
			UnreachableSince: known.UnreachableSince,
		}
		l.lastSeen[listed.ID] = startedAt
		if l.firstListed[listed.ID] == 0 {
			l.firstListed[listed.ID] = now
		}
	}
}

// recordedBeforeMS returns a wall clock time in Unix milliseconds. Any machine that was recorded before it, and
// still exists, is on a list whose read began at wall.
func (l *instanceList) recordedBeforeMS(wall time.Time) int64 {
	return wall.UnixMilli() - (2*l.maxLag + 2*l.maxSkew + recordMargin).Duration().Milliseconds()
}

// markListComplete records that all pages of the list whose read began at startedAt have been observed, and
// drops ids of instances that have been gone for longer than goneRetention.
func (l *instanceList) markListComplete(startedAt clock.Micros) {
	l.listedAt = startedAt
	for id, at := range l.goneSince {
		if startedAt > at+goneRetention {
			delete(l.goneSince, id)
		}
	}
}

// removeGone removes the instances that are proven gone by the complete list whose read began at startedAt, and
// returns them in the order of their ids. It also forgets, without returning them, granted instances that have not
// appeared on the list in time. recorded lists the machines whose records are older than
// recordedBeforeMS: they existed before the moment that the list describes, so that those missing from it are
// gone. Without the records a new leader, which has seen no earlier list, could not prove any instance gone, and
// the partition leaders would have to wait for the workers' leases to expire.
func (l *instanceList) removeGone(startedAt clock.Micros, recorded []peer.MachineRef) []peer.MachineRef {
	var gone []peer.MachineRef
	remove := func(id, zone string) {
		gone = append(gone, peer.MachineRef{ID: id, Zone: zone})
		l.markGone(id, startedAt)
	}
	for _, m := range recorded {
		if l.lastSeen[m.ID] < startedAt && l.goneSince[m.ID] == 0 {
			remove(m.ID, m.Zone)
		}
	}
	for id, instance := range l.instances {
		switch {
		case l.provenAbsent(id, startedAt):
			remove(id, instance.Zone)
		case startedAt > l.lastSeen[id]+3*l.maxLag+forgetMargin:
			l.forget(id)
		}
	}
	slices.SortFunc(gone, func(x, y peer.MachineRef) int { return strings.Compare(x.ID, y.ID) })
	return gone
}

// provenAbsent reports whether an instance that was listed before is missing from the list whose read began at
// startedAt, and that list is certain to describe a later moment than the first one that showed the instance.
func (l *instanceList) provenAbsent(id string, startedAt clock.Micros) bool {
	first := l.firstListed[id]
	return l.lastSeen[id] < startedAt && first != 0 && startedAt > (first+2*l.maxLag).PlusDrift()+absenceMargin
}

// addGranted adds the instances that the cloud granted for a request sent at sent.
func (l *instanceList) addGranted(kind InstanceKind, ids []string, sent clock.Micros) {
	for _, id := range ids {
		l.instances[id] = Instance{InstanceKind: kind, ID: id, Phase: wire.MachineBooting, RequestedAt: sent}
		l.lastSeen[id] = sent
	}
}

// observeViews updates HeartbeatSeen and UnreachableSince of all instances from the machine views: whether their workers have
// sent heartbeats, which a view shows by being accounted for, and since when those that have are silent or not in the views.
func (l *instanceList) observeViews(views []peer.MachineView, viewIndex map[string]int, now clock.Micros) {
	for id, instance := range l.instances {
		before := instance
		reachable := false
		if i, ok := viewIndex[id]; ok {
			reachable = !views[i].Silent
			instance.HeartbeatSeen = instance.HeartbeatSeen || views[i].Accounted
		}
		switch {
		case reachable:
			instance.UnreachableSince = 0
		case instance.HeartbeatSeen && instance.UnreachableSince == 0:
			instance.UnreachableSince = now
		}
		if instance != before {
			l.instances[id] = instance
		}
	}
}

// markGone removes an instance that is certain to be gone, and ignores it on older lists that still show it.
func (l *instanceList) markGone(id string, at clock.Micros) {
	l.goneSince[id] = at
	l.forget(id)
}

// forget removes an instance. A later list that shows it adds it again.
func (l *instanceList) forget(id string) {
	delete(l.instances, id)
	delete(l.lastSeen, id)
	delete(l.firstListed, id)
}

// refreshInstancesIfDue reads the cloud's list if the last complete read is too old. After a failed read it waits for
// listRetryInterval.
func (a *Autoscaler) refreshInstancesIfDue(ctx context.Context, now clock.Micros) {
	due := a.instanceList.listedAt == 0 || now > a.instanceList.listedAt+listInterval
	if !due || now < a.nextListAt {
		return
	}
	if err := a.refreshInstances(ctx); err != nil {
		if a.listFailures++; a.listFailures%listFailureLogEvery == 1 {
			a.log.Warn("instance listing failed", "attempts", a.listFailures, "error", err)
		}
		a.nextListAt = now + listRetryInterval
		return
	}
	a.listFailures = 0
}

// refreshInstances reads the cloud's list page by page, and notifies the partition leaders of the machines that
// it proves gone.
func (a *Autoscaler) refreshInstances(ctx context.Context) error {
	startedAt, wall := a.clock.Now(), a.wallClock()
	for after := ""; ; {
		var page wire.InstancePage
		target := fmt.Sprintf("%s?after=%s&most=%d", wire.PathInstances, after, wire.MaxList)
		if err := a.cloud.call(ctx, http.MethodGet, target, nil, &page); err != nil {
			return err
		}
		a.instanceList.observePage(page.Instances, startedAt, a.clock.Now())
		if !page.More || len(page.Instances) == 0 {
			break
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
	a.instanceList.markListComplete(startedAt)
	recorded := a.controllers.RecordedBefore(a.instanceList.recordedBeforeMS(wall))
	if gone := a.instanceList.removeGone(startedAt, recorded); len(gone) > 0 {
		a.log.Warn("machines vanished", "machines", gone)
		a.controllers.MarkMachinesGone(ctx, gone)
	}
	return nil
}
