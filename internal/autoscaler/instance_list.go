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
	// listInterval is how often the cloud's list is read. It lags by more than that anyway.
	listInterval = 3 * clock.Second
	// listRetryInterval is how soon a read that failed is tried again.
	listRetryInterval = clock.Second
	// listFailureLogEvery is how many failures in a row are logged as one: an outage lasts many.
	listFailureLogEvery = 20
	// goneRetention is how long instances that are gone are remembered: no list is as old as that.
	goneRetention = 600 * clock.Second
	// absenceMargin is added to twice the list's lag before absence counts: lag and drift are bounds, not exact.
	absenceMargin = clock.Second
	// recordMargin is added to the bounds of lag and skew where times of day are compared.
	recordMargin = 2 * clock.Second
	// forgetMargin is added to three times the list's lag before an instance that was never
	// listed is no longer expected.
	forgetMargin = 2 * clock.Second
)

// instanceList is what is known of the fleet's instances in a term, from the cloud's list and from
// its responses. Plain code; the goroutine of Autoscaler.Run owns it.
//
// Absence from a list proves nothing at first: the list lags. But an instance that was on it once stays
// on it until it is gone. A list that describes a later moment than that first sight, though it may
// be twice the lag old, and lacks the instance proves that it is gone with all that ran on it:
// nobody need wait for its worker's lease to expire (docs/design.md, "Why the rules hold", 4).
type instanceList struct {
	lag  clock.Micros // how old the cloud's list may be
	skew clock.Micros // how far clocks of the time of day may be apart

	instances   map[string]Instance
	lastSeen    map[string]clock.Micros // when it was last on the list, or was requested
	firstListed map[string]clock.Micros // when it was first seen on the list
	goneSince   map[string]clock.Micros // of instances that an older list may still show
	listedAt    clock.Micros            // when the last complete read was begun; 0: none in this term
}

// reset forgets everything, for a new term.
func (l *instanceList) reset() {
	l.instances = map[string]Instance{}
	l.lastSeen = map[string]clock.Micros{}
	l.firstListed = map[string]clock.Micros{}
	l.goneSince = map[string]clock.Micros{}
	l.listedAt = 0
}

// observePage takes in a page of a list whose read was begun at began and that arrived at now.
func (l *instanceList) observePage(page []wire.Instance, began, now clock.Micros) {
	for _, listed := range page {
		if l.goneSince[listed.ID] != 0 {
			continue
		}
		since := began - clock.FromSeconds(listed.AgeS)
		known, ok := l.instances[listed.ID]
		if ok {
			since = min(known.Since, since)
		}
		l.instances[listed.ID] = Instance{
			InstanceKind: InstanceKind{listed.Type, listed.Zone, listed.Spot},
			ID:           listed.ID,
			Phase:        listed.Phase,
			Since:        since,
			Up:           known.Up,
			Lost:         known.Lost,
		}
		l.lastSeen[listed.ID] = began
		if l.firstListed[listed.ID] == 0 {
			l.firstListed[listed.ID] = now
		}
	}
}

// recordedBeforeMS is the time of day before which a machine must have been recorded to be on a
// list whose read was begun at that wall time.
func (l *instanceList) recordedBeforeMS(wall time.Time) int64 {
	return wall.UnixMilli() - (2*l.lag + 2*l.skew + recordMargin).Duration().Milliseconds()
}

// completeList takes note that all pages of a list have been observed.
func (l *instanceList) completeList(began clock.Micros) {
	l.listedAt = began
	for id, at := range l.goneSince {
		if began > at+goneRetention {
			delete(l.goneSince, id)
		}
	}
}

// takeGone removes the instances that the complete list begun at began proves gone, and gives
// them by id. recorded are the machines whose records are older than recordedBeforeMS: they existed
// before the moment that the list describes. By that a new leader, to which every instance is
// new, finds those that the partition leaders need not wait for.
func (l *instanceList) takeGone(began clock.Micros, recorded []peer.MachineRef) []peer.MachineRef {
	var gone []peer.MachineRef
	remove := func(id, zone string) {
		gone = append(gone, peer.MachineRef{ID: id, Zone: zone})
		l.markGone(id, began)
	}
	for _, m := range recorded {
		if l.lastSeen[m.ID] < began && l.goneSince[m.ID] == 0 {
			remove(m.ID, m.Zone)
		}
	}
	for id, instance := range l.instances {
		switch {
		case l.provenAbsent(id, began):
			remove(id, instance.Zone)
		case began > l.lastSeen[id]+3*l.lag+forgetMargin:
			l.forget(id)
		}
	}
	slices.SortFunc(gone, func(x, y peer.MachineRef) int { return strings.Compare(x.ID, y.ID) })
	return gone
}

// provenAbsent reports whether an instance that was listed before is not on the list begun at
// began, though that describes a moment after its first sight.
func (l *instanceList) provenAbsent(id string, began clock.Micros) bool {
	first := l.firstListed[id]
	return l.lastSeen[id] < began && first != 0 && began > (first+2*l.lag).PlusDrift()+absenceMargin
}

// addRequested adds instances that the cloud granted to a request sent at sent.
func (l *instanceList) addRequested(kind InstanceKind, ids []string, sent clock.Micros) {
	for _, id := range ids {
		l.instances[id] = Instance{InstanceKind: kind, ID: id, Phase: wire.MachineBooting, Since: sent}
		l.lastSeen[id] = sent
	}
}

// observeViews takes from the views which instances' workers have sent heartbeats, and since when
// some are silent or gone.
func (l *instanceList) observeViews(views []peer.MachineView, viewIndex map[string]int, now clock.Micros) {
	for id, instance := range l.instances {
		before := instance
		reachable := false
		if i, ok := viewIndex[id]; ok {
			reachable = !views[i].Silent
			instance.Up = instance.Up || views[i].Accounted
		}
		switch {
		case reachable:
			instance.Lost = 0
		case instance.Up && instance.Lost == 0:
			instance.Lost = now
		}
		if instance != before {
			l.instances[id] = instance
		}
	}
}

// markGone removes an instance that is gone for certain; lists that are older don't bring it back.
func (l *instanceList) markGone(id string, at clock.Micros) {
	l.goneSince[id] = at
	l.forget(id)
}

// forget removes an instance; a list may bring it back.
func (l *instanceList) forget(id string) {
	delete(l.instances, id)
	delete(l.lastSeen, id)
	delete(l.firstListed, id)
}

// refreshInstancesIfDue reads the cloud's list when it is time for it.
func (a *Autoscaler) refreshInstancesIfDue(ctx context.Context, now clock.Micros) {
	due := a.list.listedAt == 0 || now > a.list.listedAt+listInterval
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

// refreshInstances reads the cloud's list, page by page, and notifies the controllers of the
// machines that it proves gone.
func (a *Autoscaler) refreshInstances(ctx context.Context) error {
	began, wall := a.clock.Now(), a.wallClock()
	for after := ""; ; {
		var page wire.InstancePage
		target := fmt.Sprintf("%s?after=%s&most=%d", wire.PathInstances, after, wire.MaxList)
		if err := a.cloud.call(ctx, http.MethodGet, target, nil, &page); err != nil {
			return err
		}
		a.list.observePage(page.Instances, began, a.clock.Now())
		if !page.More || len(page.Instances) == 0 {
			break
		}
		after = page.Instances[len(page.Instances)-1].ID
	}
	a.list.completeList(began)
	recorded := a.controllers.RecordedBefore(a.list.recordedBeforeMS(wall))
	if gone := a.list.takeGone(began, recorded); len(gone) > 0 {
		a.log.Warn("machines vanished", "machines", gone)
		a.controllers.MarkMachinesGone(ctx, gone)
	}
	return nil
}
