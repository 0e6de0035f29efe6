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

// recordWriter is a partition leader that records machines, with the key-value store in memory.
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

// stored returns all machines that a controller reads from the key-value store.
func (w *recordWriter) stored() Group {
	w.t.Helper()
	read := NewRecords()
	items, _, err := w.store.List(w.t.Context(), kvstore.MachinePrefix)
	require.NoError(w.t, err)
	for _, item := range items {
		read.Apply(kvstore.Event{Key: item.Key, Value: item.Value, ModRevision: item.ModRevision})
	}
	machines := Group{}
	read.Each(func(id string, record Record) { machines[id] = record })
	return machines
}

// A thousand machines that boot fifty at a time take a few dozen changes.
func TestManyMachinesAreRecordedInFewWrites(t *testing.T) {
	w := newRecordWriter(t)
	writes := 0
	for step := range 20 {
		fresh := Group{}
		for i := range 50 {
			fresh[fmt.Sprintf("m-%03d%03d", step, i)] = Record{Addr: "10.1.0.232:9000", Type: "big", Zone: "a"}
		}
		planned := w.records.PlanWrites(0, fresh, nil, maxValueBytes)
		writes += len(planned)
		require.NoError(t, w.commit(planned))
	}
	require.LessOrEqual(t, writes, 60)
}

// Another controller reads what was recorded, whatever is added and removed.
func TestStoredRecordsAreThoseThatWereWritten(t *testing.T) {
	w := newRecordWriter(t)
	rng := fakes.Rand(7)
	expected := Group{}
	for step := range 60 {
		fresh, drop := Group{}, []string{}
		for i := range rng.IntN(50) {
			fresh[fmt.Sprintf("m-%03d%03d", step, i)] = Record{Addr: "10.1.0.232:9000", Type: "big", Zone: "a", Spot: i%2 == 0}
		}
		for id := range expected {
			if len(drop) < step/4 {
				drop = append(drop, id)
			}
		}
		planned := w.records.PlanWrites(3, fresh, drop, maxValueBytes)
		for _, write := range planned {
			value, err := json.Marshal(write.Group)
			require.NoError(t, err)
			require.Less(t, len(value), maxValueBytes)
		}
		require.NoError(t, w.commit(planned))
		for id, record := range fresh {
			expected[id] = record
		}
		for _, id := range drop {
			delete(expected, id)
		}
		require.Equal(t, expected, w.stored())
	}
}

// A write that seemed lost and is carried out late must not remove the records of
// machines that were added since: they may hold tasks.
func TestLateWriteRemovesNoNewerRecord(t *testing.T) {
	w := newRecordWriter(t)
	require.NoError(t, w.commit(w.records.PlanWrites(0, Group{"m-1": {Type: "big"}}, nil, maxValueBytes)))
	late := w.records.PlanWrites(0, Group{"m-2": {Type: "big"}}, nil, maxValueBytes) // sent, without an answer
	require.NoError(t, w.commit(w.records.PlanWrites(0, Group{"m-3": {Type: "big"}}, nil, maxValueBytes)))
	require.Error(t, w.commit(late))
	_, found := w.records.Find("m-3")
	require.True(t, found)
}
