package jobs

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// event returns a change of a key; a nil value deletes the key.
func event(t *testing.T, key string, value any, modRevision uint64) kvstore.Event {
	t.Helper()
	e := kvstore.Event{Key: key, ModRevision: modRevision}
	if value != nil {
		encoded, err := json.Marshal(value)
		require.NoError(t, err)
		e.Value = encoded
	}
	return e
}

func record(id, team string) Record {
	return Record{Job: wire.Job{ID: id, Team: team, Tasks: 16, Priority: "normal"}}
}

func TestCacheShowsActiveJobUntilRecordIsDeleted(t *testing.T) {
	c := NewCache()
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", record("job-1", "red"), 5))
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-2", record("job-2", "blue"), 6))
	j, ok := c.Active("job-1")
	require.True(t, ok)
	require.EqualValues(t, 5, j.ModRevision)
	require.Equal(t, []*Job{j}, c.ActiveOfTeam("red"))
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", nil, 7))
	_, ok = c.Active("job-1")
	require.False(t, ok)
	require.Empty(t, c.ActiveOfTeam("red"))
}

func TestRecordWithEndPhaseMakesJobFinal(t *testing.T) {
	c := NewCache()
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", record("job-1", "red"), 5))
	ended := record("job-1", "red")
	ended.EndPhase = wire.Done
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", ended, 6))
	_, active := c.Active("job-1")
	require.False(t, active)
	f, ok := c.Final("job-1")
	require.True(t, ok)
	require.Equal(t, Final{Phase: wire.Done, Team: "red", Tasks: 16}, f)
}

func TestFinalStateStaysWhenKeyIsDeleted(t *testing.T) {
	c := NewCache()
	c.Apply(event(t, kvstore.FinalJobPrefix+"job-1", Final{Phase: wire.Cancelled, Team: "red"}, 5))
	c.Apply(event(t, kvstore.FinalJobPrefix+"job-1", nil, 6))
	f, ok := c.Final("job-1")
	require.True(t, ok)
	require.Equal(t, wire.Cancelled, f.Phase)
}

func TestUndecodableValueChangesNothing(t *testing.T) {
	c := NewCache()
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", record("job-1", "red"), 5))
	c.Apply(kvstore.Event{Key: kvstore.ActiveJobPrefix + "job-1", Value: json.RawMessage(`[1]`), ModRevision: 6})
	c.Apply(event(t, kvstore.FinalJobPrefix+"job-1", map[string]any{"team": "red"}, 7))
	c.Apply(event(t, kvstore.ProgressPrefix+"job-1/0", record("job-1", "red"), 8))
	_, active := c.Active("job-1")
	require.True(t, active)
	_, final := c.Final("job-1")
	require.False(t, final)
}

func TestJobEndsOnlyWhenCacheIncludesRecordRevision(t *testing.T) {
	c := NewCache()
	c.AdvanceRevision(4)
	require.False(t, c.Ended("job-1", 5), "the cache does not include the record's revision yet")
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", record("job-1", "red"), 5))
	c.AdvanceRevision(5)
	require.False(t, c.Ended("job-1", 5))
	c.Apply(event(t, kvstore.ActiveJobPrefix+"job-1", nil, 6))
	c.AdvanceRevision(3)
	require.True(t, c.Ended("job-1", 5), "the cache's revision must not decrease")
	require.False(t, c.Ended("job-2", 9))
	c.AddFinal("job-2", Final{Phase: wire.Done})
	require.True(t, c.Ended("job-2", 9), "a known final state means ended at any revision")
}

func TestListenerIsCalledOnceForEachFinalState(t *testing.T) {
	var calls []string
	c := NewCache(OnFinal(func(id string, f Final) { calls = append(calls, id+" "+f.Phase) }))
	c.AddFinal("job-1", Final{Phase: wire.Done})
	c.Apply(event(t, kvstore.FinalJobPrefix+"job-1", Final{Phase: wire.Done}, 5))
	c.AddFinal("job-2", Final{Phase: wire.Cancelled})
	require.Equal(t, []string{"job-1 done", "job-2 cancelled"}, calls)
}

func TestOldestFinalStateIsDroppedAboveMaximum(t *testing.T) {
	c := NewCache()
	for i := range maxFinals + 1 {
		c.AddFinal(fmt.Sprintf("job-%d", i), Final{Phase: wire.Done})
	}
	_, first := c.Final("job-0")
	require.False(t, first)
	_, second := c.Final("job-1")
	require.True(t, second)
	require.Len(t, c.finals, maxFinals)
}
