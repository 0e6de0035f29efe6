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

// zoneFixture is the fleet's leader with zones a and b, and the key-value store as it stands.
type zoneFixture struct {
	autoscaler   *Autoscaler
	evidence     map[string]zone.Evidence
	records      map[string]ZoneRecord
	modRevisions map[string]uint64 // of all keys
	revision     uint64
	loseAnswer   bool // to the next write
	commits      []wire.Txn
}

// leaderRevision is the mod revision of the fleet's leadership.
const leaderRevision = 7

var errNoAnswer = errors.New("no answer")

func newZoneFixture() *zoneFixture {
	f := &zoneFixture{
		evidence:     map[string]zone.Evidence{"a": {Machines: 10}, "b": {Machines: 10, MissedHeartbeats: 10}},
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
			Settings: zone.Settings{SuspectAfter: sec, LostAfter: 3 * sec, ReturnAfter: sec, ReturnMost: sec},
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

// steps decides n times, each half a second after the one before.
func (f *zoneFixture) steps(t *testing.T, from clock.Micros, n int) {
	t.Helper()
	leadership, _ := f.Leading(Duty)
	for i := range n {
		f.autoscaler.zones.step(t.Context(), leadership, nil, from+clock.Micros(i)*sec/2)
	}
}

// A state is written on the condition of the fleet's leadership and of the key's mod revision, so that
// neither a late copy nor a former leader's write changes a later one. A write without an answer is
// tried again from what is on record by then.
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
		require.ErrorIs(t, err, kvstore.ErrConflict, "a late copy")
	}
	require.Equal(t, before, f.records["b"])
	require.Zero(t, f.records["a"], "what does not change is not written")
}

// A hold is on record when the operator's request is answered; an unknown zone and a controller that does
// not lead give different errors.
func TestZoneHoldIsOnRecordWhenAnswered(t *testing.T) {
	f := newZoneFixture()
	require.NoError(t, f.autoscaler.HoldZone(t.Context(), "b", true))
	require.True(t, f.records["b"].Held)
	require.ErrorIs(t, f.autoscaler.HoldZone(t.Context(), "c", true), ErrUnknownZone)
	f.autoscaler.zones.endTerm()
	require.ErrorIs(t, f.autoscaler.HoldZone(t.Context(), "b", false), ErrNotLeader)
	require.ErrorIs(t, (&Autoscaler{}).HoldZone(t.Context(), "b", true), ErrZoneReturnDisabled)
}

// No instances are requested in a zone that is lost, and few idle ones returned while it returns.
func TestLostZoneIsClosedAndLimitsIdleScaleIn(t *testing.T) {
	f := newZoneFixture()
	f.steps(t, 2*sec, 12)
	closed, unsettled := f.autoscaler.zones.closedZones()
	require.Equal(t, map[string]bool{"b": true}, closed)
	require.True(t, unsettled)
	types := []wire.MachineType{{Name: "big", CPUs: 8, Price: 1, SpotPrice: 1, Zones: []string{"a", "b"}}}
	list, _ := availableKinds(Input{Types: types, Closed: closed})
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
	closed, unsettled = f.autoscaler.zones.closedZones()
	require.Empty(t, closed)
	require.True(t, unsettled)
}
