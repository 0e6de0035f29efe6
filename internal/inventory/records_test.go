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

// recordWriter is an owner that records machines and hears of it through the replica.
type recordWriter struct {
	t       *testing.T
	store   *fakes.KVClient
	records *Records
}

func (w *recordWriter) commit(list []Write) error {
	var m wire.Txn
	for _, x := range list {
		x.AppendTo(&m)
	}
	rev, err := w.store.Commit(w.t.Context(), m)
	if err == nil {
		for _, x := range list {
			w.records.Put(x.Key, x.Group, rev)
		}
	}
	return err
}

// A thousand machines that come fifty at a time take a few dozen changes.
func TestManyMachinesShareKeys(t *testing.T) {
	w := &recordWriter{t, &fakes.KVClient{KVStore: fakes.NewKVStore()}, NewRecords()}
	writes := 0
	for round := range 20 {
		fresh := Group{}
		for i := range 50 {
			fresh[fmt.Sprintf("m-%03d%03d", round, i)] = Record{Addr: "10.1.0.232:9000", Type: "big", Zone: "a"}
		}
		list := w.records.PlanWrites(0, fresh, nil, 7000)
		writes += len(list)
		require.NoError(t, w.commit(list))
	}
	require.LessOrEqual(t, writes, 60)
}

// What a follower reads is what was recorded, whatever comes and goes.
func TestRecordsAreWhatIsThere(t *testing.T) {
	st := fakes.NewKVStore()
	w := &recordWriter{t, &fakes.KVClient{KVStore: st}, NewRecords()}
	rng := fakes.Rand(7)
	there := Group{}
	for round := range 60 {
		fresh, drop := Group{}, []string{}
		for i := range rng.IntN(50) {
			fresh[fmt.Sprintf("m-%03d%03d", round, i)] = Record{Addr: "10.1.0.232:9000", Type: "big", Zone: "a", Spot: i%2 == 0}
		}
		for id := range there {
			if len(drop) < round/4 {
				drop = append(drop, id)
			}
		}
		list := w.records.PlanWrites(3, fresh, drop, 7000)
		for _, x := range list {
			b, err := json.Marshal(x.Group)
			require.NoError(t, err)
			require.Less(t, len(b), 7000)
		}
		require.NoError(t, w.commit(list))
		for id, r := range fresh {
			there[id] = r
		}
		for _, id := range drop {
			delete(there, id)
		}
		read := NewRecords()
		items, _, err := w.store.List(t.Context(), kvstore.MachinePrefix)
		require.NoError(t, err)
		for _, it := range items {
			read.Apply(kvstore.Event{Key: it.Key, Value: it.Value, ModRevision: it.ModRevision})
		}
		got := Group{}
		read.Each(func(id string, r Record) { got[id] = r })
		require.Equal(t, there, got)
	}
}

// A write that seemed lost and is carried out late must not take machines off
// the record that were put there since: they may hold tasks.
func TestLateWriteBringsNoOldListBack(t *testing.T) {
	st := fakes.NewKVStore()
	w := &recordWriter{t, &fakes.KVClient{KVStore: st}, NewRecords()}
	require.NoError(t, w.commit(w.records.PlanWrites(0, Group{"m-1": {Type: "big"}}, nil, 7000)))
	late := w.records.PlanWrites(0, Group{"m-2": {Type: "big"}}, nil, 7000) // sent, and no answer
	require.NoError(t, w.commit(w.records.PlanWrites(0, Group{"m-3": {Type: "big"}}, nil, 7000)))
	require.Error(t, w.commit(late))
	_, found := w.records.Find("m-3")
	require.True(t, found)
}

// Old news of a key, after its writer knows better, take nothing off the record.
func TestOldNewsChangeNothing(t *testing.T) {
	b := NewRecords()
	b.Put(kvstore.MachinePrefix+"000/0", Group{"m-1": {}, "m-2": {}}, 9)
	came, went := b.Apply(kvstore.Event{Key: kvstore.MachinePrefix + "000/0", Value: json.RawMessage(`{"m-1":{}}`), ModRevision: 8})
	require.Empty(t, came)
	require.Empty(t, went)
	came, went = b.Apply(kvstore.Event{Key: kvstore.MachinePrefix + "000/0", ModRevision: 10})
	require.Empty(t, came)
	require.Equal(t, []string{"m-1", "m-2"}, went)
}

// Records of the release before machines shared keys are read as they are, until
// their machines are gone.
func TestRecordsOfAnEarlierRelease(t *testing.T) {
	w := &recordWriter{t, &fakes.KVClient{KVStore: fakes.NewKVStore()}, NewRecords()}
	old := map[string]any{"addr": "10.1.0.1:9000", "type": "big", "zone": "a", "spot": true}
	rev, err := w.store.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.MachinePrefix + "m-000007", Value: old}}})
	require.NoError(t, err)
	raw, err := json.Marshal(old)
	require.NoError(t, err)
	came, _ := w.records.Apply(kvstore.Event{Key: kvstore.MachinePrefix + "m-000007", Value: raw, ModRevision: rev})
	require.Equal(t, Group{"m-000007": {Addr: "10.1.0.1:9000", Type: "big", Zone: "a", Spot: true}}, came)
	require.True(t, w.records.HasLegacy())
	require.NoError(t, w.commit(w.records.PlanWrites(3, Group{"m-000008": {Addr: "x", Type: "big", Zone: "a"}}, nil, 7000)))
	require.True(t, w.records.HasLegacy())
	require.NoError(t, w.commit(w.records.PlanWrites(3, nil, []string{"m-000007"}, 7000)))
	require.False(t, w.records.HasLegacy())
	_, there := w.records.Find("m-000007")
	require.False(t, there)
	_, found, err := w.store.Get(t.Context(), kvstore.MachinePrefix+"m-000007")
	require.NoError(t, err)
	require.False(t, found)
}
