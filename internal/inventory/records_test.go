package inventory

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// An event older than the revision at which the writer knows the key must change nothing.
func TestEventOlderThanKnownRevisionChangesNothing(t *testing.T) {
	r := NewRecords()
	key := kvstore.MachinePrefix + "000/0"
	r.Put(key, Group{"m-1": {}, "m-2": {}}, 9)
	added, removed := r.Apply(kvstore.Event{Key: key, Value: json.RawMessage(`{"m-1":{}}`), ModRevision: 8})
	require.Empty(t, added)
	require.Empty(t, removed)
	added, removed = r.Apply(kvstore.Event{Key: key, ModRevision: 10})
	require.Empty(t, added)
	require.Equal(t, []string{"m-1", "m-2"}, removed)
}

// Records of the release before machines shared keys are read in their old form until their machines are
// gone.
func TestLegacyRecordIsReadUntilItsMachineIsGone(t *testing.T) {
	w := newRecordWriter(t)
	key := kvstore.MachinePrefix + "m-000007"
	legacy := map[string]any{"addr": "10.1.0.1:9000", "type": "big", "zone": "a", "spot": true}
	revision, err := w.store.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: key, Value: legacy}}})
	require.NoError(t, err)
	value, err := json.Marshal(legacy)
	require.NoError(t, err)
	added, _ := w.records.Apply(kvstore.Event{Key: key, Value: value, ModRevision: revision})
	require.Equal(t, Group{"m-000007": {Addr: "10.1.0.1:9000", Type: "big", Zone: "a", Spot: true}}, added)
	require.True(t, w.records.HasLegacy())
	require.NoError(t, w.commit(w.records.PlanWrites(3, Group{"m-000008": {Addr: "x", Type: "big", Zone: "a"}}, nil, maxValueBytes)))
	require.True(t, w.records.HasLegacy())
	require.NoError(t, w.commit(w.records.PlanWrites(3, nil, []string{"m-000007"}, maxValueBytes)))
	require.False(t, w.records.HasLegacy())
	_, recorded := w.records.Find("m-000007")
	require.False(t, recorded)
	_, found, err := w.store.Get(t.Context(), key)
	require.NoError(t, err)
	require.False(t, found)
}
