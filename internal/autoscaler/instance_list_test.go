package autoscaler

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// An instance that was on the list and is on a later one no more is gone, sooner
// than its worker's lease expires. A list that may be older than the first
// sight of it proves nothing, nor does one that never had it.
func TestListedInstanceMissingFromLaterListIsGone(t *testing.T) {
	s := newScenario(t)
	list := &s.autoscaler.list
	at := &manualClock{100 * sec}
	s.autoscaler.clock = at
	read := func(listed ...wire.Instance) {
		t.Helper()
		s.cloud.withLock(func() { s.cloud.instances = listed })
		require.NoError(t, s.autoscaler.refreshInstances(t.Context()))
	}
	kept := wire.Instance{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	taken := wire.Instance{ID: "m-2", Type: "big", Zone: "a", Phase: wire.MachineRunning}
	list.addRequested(InstanceKind{}, []string{"m-9"}, at.now)
	read(kept, taken)
	at.now += 16 * sec // the list may lag twice its 8 s
	read(kept)
	require.Empty(t, s.controllers.gone, "a list that may be older than the first sight")
	read(kept, taken)
	at.now += 2 * sec
	read(kept)
	require.Equal(t, []string{"m-2"}, s.controllers.gone)
	require.Contains(t, list.instances, "m-9")
}

// A new leader's first list: a machine that was recorded long before it and is
// not on it is gone, and its partition leader need not wait for it. One recorded lately may
// not be listed yet.
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

// An instance that was returned stays gone, though lists that lag still show it.
func TestReturnedInstanceIsNotRestoredByLaggingList(t *testing.T) {
	l := instanceList{lag: 8 * sec}
	l.reset()
	listed := []wire.Instance{{ID: "m-1", Type: "big", Zone: "a", Phase: wire.MachineRunning}}
	l.observePage(listed, 100*sec, 100*sec)
	require.Contains(t, l.instances, "m-1")
	l.markGone("m-1", 101*sec)
	l.observePage(listed, 104*sec, 104*sec)
	l.completeList(104 * sec)
	require.Empty(t, l.instances)
	require.Empty(t, l.takeGone(104*sec, []peer.MachineRef{{ID: "m-1"}}), "the controllers have been notified")
}

// An instance that was granted and is never listed is expected for three times the lag, and is then
// forgotten; nobody is notified of it as gone.
func TestGrantedInstanceNeverListedIsForgotten(t *testing.T) {
	l := instanceList{lag: 8 * sec}
	l.reset()
	l.addRequested(InstanceKind{"big", "a", true}, []string{"m-1"}, 100*sec)
	require.Empty(t, l.takeGone(126*sec, nil))
	require.Contains(t, l.instances, "m-1")
	require.Empty(t, l.takeGone(126*sec+1, nil))
	require.Empty(t, l.instances)
}
