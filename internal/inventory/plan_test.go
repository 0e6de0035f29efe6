package inventory

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

const maxValueBytes = 7000

// recordWriter records machines like a partition leader, in an in-memory key-value store.
type recordWriter struct {
	t       *testing.T
	store   *fakes.KVClient
	records *Records
}

func newRecordWriter(t *testing.T) *recordWriter {
	t.Helper()
	return &recordWriter{t, &fakes.KVClient{KVStore: fakes.NewKVStore()}, NewRecords()}
}

func (w *recordWriter) commit(writes []Write) error {
	w.t.Helper()
	var txn wire.Txn
	for _, write := range writes {
		write.AppendTo(&txn)
	}
	revision, err := w.store.Commit(w.t.Context(), txn)
	if err == nil {
		for _, write := range writes {
			w.records.Put(write.Key, write.Group, revision)
		}
	}
	return err
}

// stored returns all machines that a controller would read from the key-value store.
func (w *recordWriter) stored() Group {
	w.t.Helper()
	reread := NewRecords()
	items, _, err := w.store.List(w.t.Context(), kvstore.MachinePrefix)
	require.NoError(w.t, err)
	for _, item := range items {
		reread.Apply(kvstore.Event{Key: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	machines := Group{}
	reread.Each(func(id string, record Record) { machines[id] = record })
	return machines
}

// A thousand machines boot fifty at a time. Recording them takes only a few dozen changes, since machines
// share keys.
func TestManyMachinesAreRecordedInFewWrites(t *testing.T) {
	w := newRecordWriter(t)
	writes := 0
	for step := range 20 {
		added := Group{}
		for i := range 50 {
			added[fmt.Sprintf("m-%03d%03d", step, i)] = Record{Addr: "10.1.0.232:9000", Type: "big", Zone: "a"}
		}
		planned := w.records.PlanWrites(0, added, nil, maxValueBytes)
		writes += len(planned)
		require.NoError(t, w.commit(planned))
	}
	require.LessOrEqual(t, writes, 60)
}

// Another controller reads back exactly what was recorded, after any sequence of additions and removals.
func TestStoredRecordsMatchWrites(t *testing.T) {
	w := newRecordWriter(t)
	rng := fakes.Rand(7)
	expected := Group{}
	for step := range 60 {
		added, removed := Group{}, []string{}
		for i := range rng.IntN(50) {
			added[fmt.Sprintf("m-%03d%03d", step, i)] = Record{Addr: "10.1.0.232:9000", Type: "big", Zone: "a", Spot: i%2 == 0}
		}
		for id := range expected {
			if len(removed) < step/4 {
				removed = append(removed, id)
			}
		}
		planned := w.records.PlanWrites(3, added, removed, maxValueBytes)
		for _, write := range planned {
			value, err := json.Marshal(write.Group)
			require.NoError(t, err)
			require.Less(t, len(value), maxValueBytes)
		}
		require.NoError(t, w.commit(planned))
		for id, record := range added {
			expected[id] = record
		}
		for _, id := range removed {
			delete(expected, id)
		}
		require.Equal(t, expected, w.stored())
	}
}

// A write that got no response is carried out late. It must not remove the records of machines that were
// added since, because these may run tasks.
func TestLateWriteRemovesNoNewerRecord(t *testing.T) {
	w := newRecordWriter(t)
	require.NoError(t, w.commit(w.records.PlanWrites(0, Group{"m-1": {Type: "big"}}, nil, maxValueBytes)))
	late := w.records.PlanWrites(0, Group{"m-2": {Type: "big"}}, nil, maxValueBytes) // sent, but got no response
	require.NoError(t, w.commit(w.records.PlanWrites(0, Group{"m-3": {Type: "big"}}, nil, maxValueBytes)))
	require.Error(t, w.commit(late))
	_, found := w.records.Find("m-3")
	require.True(t, found)
}
