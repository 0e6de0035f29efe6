package autoscaler

import (
	"context"
	"errors"
	"log/slog"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/recovery"
	"github.com/merlinlatch/merlinlatch/internal/zone"
	"github.com/merlinlatch/merlinlatch/wire"
)

// zoneFixture is a fleet's holder with zones a and b, and the state service as it stands.
type zoneFixture struct {
	evidence     map[string]zone.Evidence
	records      map[string]ZoneRecord
	modRevisions map[string]uint64 // of all keys
	revision     uint64
	loseAnswer   bool // the answer to the next write
	commits      []wire.Txn
}

func (w *zoneFixture) ZoneEvidence() map[string]zone.Evidence { return w.evidence }
func (w *zoneFixture) ZoneRecords() map[string]ZoneRecord     { return w.records }
func (w *zoneFixture) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: 7}, true
}

var errNoAnswer = errors.New("no answer")

func (w *zoneFixture) Commit(_ context.Context, m wire.Txn) (uint64, error) {
	w.commits = append(w.commits, m)
	for _, c := range m.Conditions {
		if w.modRevisions[c.Key] != c.ModRevision {
			return 0, kvstore.ErrConflict
		}
	}
	w.revision++
	for _, op := range m.Operations {
		w.modRevisions[op.Put] = w.revision
		w.records[op.Put[len(kvstore.ZonePrefix):]] = ZoneRecord{op.Value.(zone.Record), w.revision}
	}
	if w.loseAnswer {
		w.loseAnswer = false
		return 0, errNoAnswer
	}
	return w.revision, nil
}

func newZoneFixture() (*zoneFixture, *Autoscaler) {
	w := &zoneFixture{evidence: map[string]zone.Evidence{"a": {Machines: 10}, "b": {Machines: 10, Unheard: 10}}, records: map[string]ZoneRecord{},
		modRevisions: map[string]uint64{kvstore.LeaderPrefix + Duty: 7}, revision: 10}
	a := New(Options{Cloud: NewCloudClient("", 1, 1), Elections: w, Store: w, WallClock: time.Now, Log: slog.New(slog.DiscardHandler),
		Zones: ZoneWatch{Names: []string{"a", "b"}, Source: w, Settings: zone.Settings{SuspectAfter: clock.Second, LostAfter: 3 * clock.Second,
			ReturnAfter: clock.Second, ReturnMost: clock.Second}}})
	a.zones.startTerm(clock.Second)
	return w, a
}

func (w *zoneFixture) steps(t *testing.T, a *Autoscaler, from clock.Micros, n int) {
	h, _ := w.Leading(Duty)
	for i := range n {
		a.zones.step(t.Context(), h, nil, from+clock.Micros(i)*clock.Second/2)
	}
}

// A state is written on the condition of the fleet's claim and of the key's stamp, so that neither a late copy
// nor a former holder's write changes a later one. A write without an answer is tried again from
// what is on record by then.
func TestZoneRecordsAreConditional(t *testing.T) {
	w, a := newZoneFixture()
	w.loseAnswer = true
	w.steps(t, a, 2*clock.Second, 12)
	require.Equal(t, zone.Lost, w.records["b"].State)
	require.NotEmpty(t, w.commits)
	for _, m := range w.commits {
		require.Equal(t, wire.Condition{Key: kvstore.LeaderPrefix + Duty, ModRevision: 7}, m.Conditions[0])
		require.Len(t, m.Conditions, 1+len(m.Operations))
		require.Equal(t, kvstore.ZonePrefix+"b", m.Conditions[1].Key)
	}
	before := w.records["b"]
	for _, late := range w.commits {
		_, err := w.Commit(t.Context(), late)
		require.ErrorIs(t, err, kvstore.ErrConflict, "a late copy")
	}
	require.Equal(t, before, w.records["b"])
	require.Zero(t, w.records["a"], "what does not change is not written")
}

// A hold is on record when the operator is told so; an unknown zone and a controller that does not
// decide are told apart.
func TestHoldsAreOnRecord(t *testing.T) {
	w, a := newZoneFixture()
	require.NoError(t, a.HoldZone(t.Context(), "b", true))
	require.True(t, w.records["b"].Held)
	require.ErrorIs(t, a.HoldZone(t.Context(), "c", true), ErrUnknownZone)
	a.zones.endTerm()
	require.ErrorIs(t, a.HoldZone(t.Context(), "b", false), ErrNotLeader)
	require.ErrorIs(t, (&Autoscaler{}).HoldZone(t.Context(), "b", true), ErrZoneReturnDisabled)
}

// No machines are rented in a zone that is lost, and few idle ones given back while it returns.
func TestRentingWhileAZoneIsAway(t *testing.T) {
	w, a := newZoneFixture()
	w.steps(t, a, 2*clock.Second, 12)
	closed, unsettled := a.zones.closedZones()
	require.Equal(t, map[string]bool{"b": true}, closed)
	require.True(t, unsettled)
	list, _ := availableKinds(Input{Types: []wire.MachineType{{Name: "big", CPUs: 8, Price: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}, Closed: closed})
	require.Len(t, list, 2)
	for _, k := range list {
		require.Equal(t, "a", k.Zone)
	}
	returns := []ScaleIn{{ID: "1", Reason: reasonIdle}, {ID: "2", Reason: reasonIdle}, {ID: "3", Reason: reasonIdle}, {ID: "4", Reason: "failed"}}
	require.Equal(t, []ScaleIn{returns[0], returns[1], returns[3]}, limitIdleScaleIn(returns))
	w.evidence["b"] = zone.Evidence{Machines: 10}
	w.steps(t, a, 20*clock.Second, 4)
	require.Equal(t, zone.Returning, w.records["b"].State)
	require.Equal(t, recovery.Reconcile, w.records["b"].Stage)
	closed, unsettled = a.zones.closedZones()
	require.Empty(t, closed)
	require.True(t, unsettled)
}
