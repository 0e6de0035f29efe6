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

// zoneFixture is the autoscaler of the fleet's leader with zones a and b, all machines of b being missing. It also
// implements the elections, the key-value store and the source of evidence.
type zoneFixture struct {
	autoscaler   *Autoscaler
	evidence     map[string]zone.Evidence
	records      map[string]ZoneRecord
	modRevisions map[string]uint64 // of all keys in the store
	revision     uint64            // of the store
	loseAnswer   bool              // the next write is carried out, but returns an error
	commits      []wire.Txn
}

// leaderRevision is the mod revision of the fleet's leadership.
const leaderRevision = 7

var errNoAnswer = errors.New("no answer")

func newZoneFixture() *zoneFixture {
	f := &zoneFixture{
		evidence:     map[string]zone.Evidence{"a": {Machines: 10}, "b": {Machines: 10, Missing: 10}},
		records:      map[string]ZoneRecord{},
		modRevisions: map[string]uint64{kvstore.LeaderPrefix + Duty: leaderRevision},
		revision:     10,
	}
	f.autoscaler = New(Options{
		Cloud:     NewCloudClient("", 1, 1),
		Elections: f,
		Store:     f,
		WallClock: time.Now,
		Log:       slog.New(slog.DiscardHandler),
		Zones: ZoneWatch{
			Names:    []string{"a", "b"},
			Source:   f,
			Settings: zone.Settings{SuspectAfter: sec, LostAfter: 3 * sec, ReturnDelay: sec, MaxReturnDelay: sec},
		},
	})
	f.autoscaler.zones.startTerm(sec)
	return f
}

func (f *zoneFixture) ZoneEvidence() map[string]zone.Evidence { return f.evidence }
func (f *zoneFixture) ZoneRecords() map[string]ZoneRecord     { return f.records }

func (*zoneFixture) Leading(string) (leaderelection.Leadership, bool) {
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: leaderRevision}, true
}

func (f *zoneFixture) Commit(_ context.Context, m wire.Txn) (uint64, error) {
	f.commits = append(f.commits, m)
	for _, c := range m.Conditions {
		if f.modRevisions[c.Key] != c.ModRevision {
			return 0, kvstore.ErrConflict
		}
	}
	f.revision++
	for _, op := range m.Operations {
		f.modRevisions[op.Put] = f.revision
		f.records[op.Put[len(kvstore.ZonePrefix):]] = ZoneRecord{op.Value.(zone.Record), f.revision}
	}
	if f.loseAnswer {
		f.loseAnswer = false
		return 0, errNoAnswer
	}
	return f.revision, nil
}

// steps makes n decisions on the states of zones, at intervals of half a second.
func (f *zoneFixture) steps(t *testing.T, from clock.Micros, n int) {
	t.Helper()
	leadership, _ := f.Leading(Duty)
	for i := range n {
		f.autoscaler.zones.step(t.Context(), leadership, nil, from+clock.Micros(i)*sec/2)
	}
}

// Every write of a state is conditional on the fleet's leadership and on the key's mod revision, so that neither a delayed
// copy of it nor a write of a former leader overwrites a later state. After a write without a response, the next
// one uses the mod revisions that the store has by then; with the former ones it would conflict for ever.
func TestZoneRecordWriteIsConditional(t *testing.T) {
	f := newZoneFixture()
	f.loseAnswer = true
	f.steps(t, 2*sec, 12)
	require.Equal(t, zone.Lost, f.records["b"].State)
	require.NotEmpty(t, f.commits)
	for _, m := range f.commits {
		require.Equal(t, wire.Condition{Key: kvstore.LeaderPrefix + Duty, ModRevision: leaderRevision}, m.Conditions[0])
		require.Len(t, m.Conditions, 1+len(m.Operations))
		require.Equal(t, kvstore.ZonePrefix+"b", m.Conditions[1].Key)
	}
	before := f.records["b"]
	for _, late := range f.commits {
		_, err := f.Commit(t.Context(), late)
		require.ErrorIs(t, err, kvstore.ErrConflict, "a delayed copy of a write must not be carried out")
	}
	require.Equal(t, before, f.records["b"])
	require.Zero(t, f.records["a"], "an unchanged state is not written")
}

// HoldZone returns only once the hold is stored. It returns different errors for an unknown zone, for a controller that
// does not lead the fleet, and if the states of zones are not decided.
func TestZoneHoldIsOnRecordWhenAnswered(t *testing.T) {
	f := newZoneFixture()
	require.NoError(t, f.autoscaler.HoldZone(t.Context(), "b", true))
	require.True(t, f.records["b"].Held)
	require.ErrorIs(t, f.autoscaler.HoldZone(t.Context(), "c", true), ErrUnknownZone)
	f.autoscaler.zones.endTerm()
	require.ErrorIs(t, f.autoscaler.HoldZone(t.Context(), "b", false), ErrNotLeader)
	require.ErrorIs(t, (&Autoscaler{}).HoldZone(t.Context(), "b", true), ErrZoneReturnDisabled)
}

// No instances are requested in a lost zone, and only a few idle ones are returned until the zone is healthy. Otherwise all
// replacements for its machines would be returned as soon as it is reachable again.
func TestLostZoneIsClosedAndLimitsIdleScaleIn(t *testing.T) {
	f := newZoneFixture()
	f.steps(t, 2*sec, 12)
	closed, anyUnhealthy := f.autoscaler.zones.closedZones()
	require.Equal(t, map[string]bool{"b": true}, closed)
	require.True(t, anyUnhealthy)
	types := []wire.MachineType{{Name: "big", CPUs: 8, Price: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}
	list, _ := availableKinds(Input{Types: types, ClosedZones: closed})
	require.Len(t, list, 2)
	for _, k := range list {
		require.Equal(t, "a", k.Zone)
	}
	planned := []ScaleIn{
		{ID: "1", Reason: reasonIdle},
		{ID: "2", Reason: reasonIdle},
		{ID: "3", Reason: reasonIdle},
		{ID: "4", Reason: reasonFailed},
	}
	require.Equal(t, []ScaleIn{planned[0], planned[1], planned[3]}, limitIdleScaleIn(planned))
	f.evidence["b"] = zone.Evidence{Machines: 10}
	f.steps(t, 20*sec, 4)
	require.Equal(t, zone.Returning, f.records["b"].State)
	require.Equal(t, recovery.Reconcile, f.records["b"].Stage)
	closed, anyUnhealthy = f.autoscaler.zones.closedZones()
	require.Empty(t, closed)
	require.True(t, anyUnhealthy)
}
