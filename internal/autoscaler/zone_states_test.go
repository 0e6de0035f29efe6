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

// zoneWorld is a fleet's holder with zones a and b, and the state service as it stands.
type zoneWorld struct {
	evidence map[string]zone.Evidence
	records  map[string]ZoneRecord
	stamps   map[string]uint64 // of all keys
	rev      uint64
	lose     bool // the answer to the next write
	commits  []wire.Txn
}

func (w *zoneWorld) ZoneEvidence() map[string]zone.Evidence { return w.evidence }
func (w *zoneWorld) ZoneRecords() map[string]ZoneRecord     { return w.records }
func (w *zoneWorld) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: 7}, true
}

var errNoAnswer = errors.New("no answer")

func (w *zoneWorld) Commit(_ context.Context, m wire.Txn) (uint64, error) {
	w.commits = append(w.commits, m)
	for _, c := range m.Conditions {
		if w.stamps[c.Key] != c.ModRevision {
			return 0, kvstore.ErrConflict
		}
	}
	w.rev++
	for _, op := range m.Operations {
		w.stamps[op.Put] = w.rev
		w.records[op.Put[len(kvstore.ZonePrefix):]] = ZoneRecord{op.Value.(zone.Record), w.rev}
	}
	if w.lose {
		w.lose = false
		return 0, errNoAnswer
	}
	return w.rev, nil
}

func newZoneWorld() (*zoneWorld, *Autoscaler) {
	w := &zoneWorld{evidence: map[string]zone.Evidence{"a": {Machines: 10}, "b": {Machines: 10, Unheard: 10}}, records: map[string]ZoneRecord{},
		stamps: map[string]uint64{kvstore.LeaderPrefix + Duty: 7}, rev: 10}
	f := &Autoscaler{claims: w, store: w, wall: time.Now, log: slog.New(slog.DiscardHandler)}
	f.zones.watch = ZoneWatch{Names: []string{"a", "b"}, Source: w, Settings: zone.Settings{SuspectAfter: clock.Second, LostAfter: 3 * clock.Second,
		ReturnAfter: clock.Second, ReturnMost: clock.Second}}
	f.zones.begin(clock.Second)
	return w, f
}

func (w *zoneWorld) steps(t *testing.T, f *Autoscaler, from clock.Micros, n int) {
	h, _ := w.Leading(Duty)
	for i := range n {
		f.stepZones(t.Context(), h, nil, from+clock.Micros(i)*clock.Second/2)
	}
}

// A state is written on the condition of the fleet's claim and of the key's stamp, so that neither a late copy
// nor a former holder's write changes a later one. A write without an answer is tried again from
// what is on record by then.
func TestZoneRecordsAreConditional(t *testing.T) {
	w, f := newZoneWorld()
	w.lose = true
	w.steps(t, f, 2*clock.Second, 12)
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
	w, f := newZoneWorld()
	require.NoError(t, f.HoldZone(t.Context(), "b", true))
	require.True(t, w.records["b"].Held)
	require.ErrorIs(t, f.HoldZone(t.Context(), "c", true), ErrUnknownZone)
	f.zones.end()
	require.ErrorIs(t, f.HoldZone(t.Context(), "b", false), ErrNotLeader)
	require.ErrorIs(t, (&Autoscaler{}).HoldZone(t.Context(), "b", true), ErrZoneReturnDisabled)
}

// No machines are rented in a zone that is lost, and few idle ones given back while it returns.
func TestRentingWhileAZoneIsAway(t *testing.T) {
	w, f := newZoneWorld()
	w.steps(t, f, 2*clock.Second, 12)
	closed, unsettled := f.closedZones()
	require.Equal(t, map[string]bool{"b": true}, closed)
	require.True(t, unsettled)
	list, _ := kinds(Input{Types: []wire.MachineType{{Name: "big", CPUs: 8, Price: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}, Closed: closed})
	require.Len(t, list, 2)
	for _, k := range list {
		require.Equal(t, "a", k.Zone)
	}
	returns := []ScaleIn{{ID: "1", Reason: whyIdle}, {ID: "2", Reason: whyIdle}, {ID: "3", Reason: whyIdle}, {ID: "4", Reason: "failed"}}
	require.Equal(t, []ScaleIn{returns[0], returns[1], returns[3]}, limitReturns(returns))
	w.evidence["b"] = zone.Evidence{Machines: 10}
	w.steps(t, f, 20*clock.Second, 4)
	require.Equal(t, zone.Returning, w.records["b"].State)
	require.Equal(t, recovery.Reconcile, w.records["b"].Stage)
	closed, unsettled = f.closedZones()
	require.Empty(t, closed)
	require.True(t, unsettled)
}
