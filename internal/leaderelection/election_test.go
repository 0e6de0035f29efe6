package leaderelection

import (
	"testing"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Unit tests of the decisions that Election makes on given events at given times.

// newRegisteredElection makes the election state of one of the controllers a, b and c. The first two of the three duties need
// the workers. The controller is registered as incarnation i at mod revision 1, with a lease that is valid for 1000 s.
func newRegisteredElection(t *testing.T, controller string) *Election {
	t.Helper()
	e := NewElection(controller, []string{"c", "b", "a"}, duties, 2)
	e.StartIncarnation("i", 9, clock.Second*1000)
	applyValue(t, e, kvstore.ControllerPrefix+controller, Registration{Incarnation: "i"}, 1)
	return e
}

// applyValue applies an event that sets a key to a value; nil deletes the key.
func applyValue(t *testing.T, e *Election, key string, value any, modRevision uint64) {
	t.Helper()
	ev := kvstore.Event{Key: key, ModRevision: modRevision}
	if value != nil {
		raw, err := json.Marshal(value)
		require.NoError(t, err)
		ev.Value = raw
	}
	e.Apply(ev)
}

func dutiesOf(writes []Write) (out []string) {
	for _, w := range writes {
		out = append(out, w.Duty)
	}
	return out
}

func TestCampaignWaitsForPreferredControllers(t *testing.T) {
	const grace = 3 * clock.Second
	registered, unreachable := Registration{Incarnation: "x"}, Registration{Incarnation: "x", Unreachable: true}
	for name, c := range map[string]struct {
		preferredRegistrations []any // successive registrations of a, the preferred leader of duty one; nil: deleted
		wantAfter              clock.Micros
	}{
		"never seen":                      {nil, grace},
		"registered":                      {[]any{registered}, 2 * grace},
		"lease expired":                   {[]any{registered, nil}, 0},
		"its workers don't reach it":      {[]any{unreachable}, 0},
		"registered again after expiry":   {[]any{registered, nil, registered}, 2 * grace},
		"reached by its workers again":    {[]any{unreachable, registered}, 2 * grace},
		"unreachable, then lease expired": {[]any{unreachable, nil}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e := newRegisteredElection(t, "b")
			for i, value := range c.preferredRegistrations {
				applyValue(t, e, kvstore.ControllerPrefix+"a", value, uint64(i)+2)
			}
			start := 100 * clock.Second
			campaigned := dutiesOf(e.Campaign(start, grace))
			require.Contains(t, campaigned, "two", "b is preferred for it")
			if c.wantAfter == 0 {
				require.Contains(t, campaigned, "one")
				return
			}
			require.NotContains(t, dutiesOf(e.Campaign(start+c.wantAfter-1, grace)), "one")
			require.Contains(t, dutiesOf(e.Campaign(start+c.wantAfter, grace)), "one")
		})
	}
}

func TestCampaignIsConditionalOnLeadershipAndRegistrations(t *testing.T) {
	e := newRegisteredElection(t, "a")
	applyValue(t, e, kvstore.LeaderPrefix+"one", Record{"b", "gone", 7}, 5)
	applyValue(t, e, kvstore.ControllerPrefix+"b", Registration{Incarnation: "another"}, 6)
	writes := e.Campaign(clock.Second, clock.Second)
	require.Equal(t, []Write{{"one", wire.Txn{
		Conditions: []wire.Condition{
			{Key: kvstore.LeaderPrefix + "one", ModRevision: 5},
			{Key: kvstore.ControllerPrefix + "a", ModRevision: 1},
			{Key: kvstore.ControllerPrefix + "b", ModRevision: 6},
		},
		Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + "one", Value: Record{"a", "i", 8}}},
	}}}, writes)
}

func TestIncarnationCampaignsOnlyWhileRegisteredWithValidLease(t *testing.T) {
	for name, c := range map[string]struct {
		change func(*testing.T, *Election)
		now    clock.Micros
		want   bool
	}{
		"registered, lease valid": {func(*testing.T, *Election) {}, 999 * clock.Second, true},
		"lease expired":           {func(*testing.T, *Election) {}, 1000 * clock.Second, false},
		"lease extended": {func(_ *testing.T, e *Election) {
			e.ExtendLease("i", 1001*clock.Second, 1000*clock.Second-1)
		}, 1000 * clock.Second, true},
		"lease extended after it expired": {func(_ *testing.T, e *Election) {
			e.ExtendLease("i", 1001*clock.Second, 1000*clock.Second)
		}, 1000 * clock.Second, false},
		"lease of a former incarnation extended": {func(_ *testing.T, e *Election) {
			e.ExtendLease("former", 1001*clock.Second, 999*clock.Second)
		}, 1000 * clock.Second, false},
		"resigned": {func(_ *testing.T, e *Election) { e.Resign() }, clock.Second, false},
		"registration not shown yet": {func(_ *testing.T, e *Election) {
			e.StartIncarnation("next", 10, 1000*clock.Second)
		}, clock.Second, false},
		"registration removed by a peer": {func(t *testing.T, e *Election) {
			applyValue(t, e, kvstore.ControllerPrefix+"a", nil, 2)
		}, clock.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			e := newRegisteredElection(t, "a")
			c.change(t, e)
			require.Equal(t, c.want, len(e.Campaign(c.now, clock.Second)) > 0)
		})
	}
}

// leadAll makes a controller the leader of all duties, under the incarnation of newRegisteredElection.
func leadAll(t *testing.T, e *Election, controller string) {
	t.Helper()
	for i, duty := range duties {
		applyValue(t, e, kvstore.LeaderPrefix+duty, Record{controller, "i", uint64(i)}, uint64(i)+10)
	}
}

func TestLeadershipsReturnToPreferredLeadersOneAtATime(t *testing.T) {
	const delay = 5 * clock.Second
	e := newRegisteredElection(t, "c")
	leadAll(t, e, "c")
	applyValue(t, e, kvstore.ControllerPrefix+"a", Registration{Incarnation: "x"}, 20)
	applyValue(t, e, kvstore.ControllerPrefix+"b", Registration{Incarnation: "y"}, 21)
	require.Empty(t, e.TransferLeadership(clock.Second, delay))
	require.Empty(t, e.TransferLeadership(clock.Second+delay-1, delay), "a and b have not been registered for the whole delay")
	require.Equal(t, []string{"one"}, dutiesOf(e.TransferLeadership(clock.Second+delay, delay)))
	_, leads := e.Leading("one", clock.Second+delay)
	require.False(t, leads, "the leadership must not be acted on once its transfer is decided")
	_, leads = e.Leading("two", clock.Second+delay)
	require.True(t, leads)
}

func TestUnreachableControllerTransfersWorkerDutiesTogether(t *testing.T) {
	const delay = 5 * clock.Second
	e := newRegisteredElection(t, "c")
	leadAll(t, e, "c")
	applyValue(t, e, kvstore.ControllerPrefix+"c", Registration{Incarnation: "i", Unreachable: true}, 20)
	require.Empty(t, e.TransferLeadership(clock.Second, delay), "no other controller is registered")
	applyValue(t, e, kvstore.ControllerPrefix+"b", Registration{Incarnation: "y", Unreachable: true}, 21)
	require.Empty(t, e.TransferLeadership(clock.Second, delay), "the other controller's workers do not reach it either")
	applyValue(t, e, kvstore.ControllerPrefix+"b", Registration{Incarnation: "y"}, 22)
	require.Equal(t, []string{"one", "two"}, dutiesOf(e.TransferLeadership(clock.Second, delay)))
}
