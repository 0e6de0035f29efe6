package autoscaler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// An instance that was on the list and is missing from one that describes a later moment is reported as gone, before its
// worker's lease expires. A list that may describe an earlier moment than the first one that showed the instance
// proves nothing. Nor is an instance reported that has not been on any list.
func TestListedInstanceMissingFromLaterListIsGone(t *testing.T) {
	s := newScenario(t)
	list := &s.autoscaler.instanceList
	at := &manualClock{100 * sec}
	s.autoscaler.clock = at
	read := func(listed ...wire.Instance) {
		t.Helper()
		s.cloud.withLock(func() { s.cloud.instances = listed })
		require.NoError(t, s.autoscaler.refreshInstances(t.Context()))
	}
	kept := wire.Instance{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	missing := wire.Instance{ID: "m-2", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	list.addGranted(InstanceKind{}, []string{"m-9"}, at.now)
	read(kept, missing)
	at.now += 16 * sec // twice the list's lag of 8 s
	read(kept)
	require.Empty(t, s.controllers.gone, "the list may describe an earlier moment than the first one that showed m-2")
	read(kept, missing)
	at.now += 2 * sec
	read(kept)
	require.Equal(t, []string{"m-2"}, s.controllers.gone)
	require.Contains(t, list.instances, "m-9")
}

// A new leader reports machines as gone that were recorded long before its first list and are missing from it, so that
// their partition leaders need not wait for the leases to expire. A machine that was recorded lately is not
// reported, since the list may lag behind.
func TestRecordedMachineMissingFromListIsGone(t *testing.T) {
	s := newScenario(t)
	now := time.UnixMilli(1_800_000_000_000)
	s.autoscaler.wallClock = func() time.Time { return now }
	old, recent := now.UnixMilli()-60_000, now.UnixMilli()-17_000
	s.controllers.records = map[string]int64{"m-1": old, "m-2": old, "m-3": recent}
	s.cloud.withLock(func() {
		s.cloud.instances = []wire.Instance{{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}}
	})
	require.NoError(t, s.autoscaler.refreshInstances(t.Context()))
	require.Equal(t, []string{"m-2"}, s.controllers.gone)
}

// An instance that was returned stays gone although a lagging list still shows it. Otherwise it would count as capacity
// again.
func TestReturnedInstanceIsNotRestoredByLaggingList(t *testing.T) {
	l := instanceList{maxLag: 8 * sec}
	l.reset()
	listed := []wire.Instance{{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}}
	l.observePage(listed, 100*sec, 100*sec)
	require.Contains(t, l.instances, "m-1")
	l.markGone("m-1", 101*sec)
	l.observePage(listed, 104*sec, 104*sec)
	l.markListComplete(104 * sec)
	require.Empty(t, l.instances)
	require.Empty(t, l.removeGone(104*sec, []peer.MachineRef{{ID: "m-1"}}), "the controllers have already been notified")
}

// An instance that was granted and does not appear on a list counts as capacity for three times the lag and a margin.
// After that it is dropped, and not reported as gone, since the list never showed it.
func TestGrantedInstanceNeverListedIsForgotten(t *testing.T) {
	l := instanceList{maxLag: 8 * sec}
	l.reset()
	l.addGranted(InstanceKind{"big", "a", true}, []string{"m-1"}, 100*sec)
	require.Empty(t, l.removeGone(126*sec, nil))
	require.Contains(t, l.instances, "m-1")
	require.Empty(t, l.removeGone(126*sec+1, nil))
	require.Empty(t, l.instances)
}
