package kvstore_test

import (
	"context"
	"fmt"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// compactingStore is a state service that now and then no longer keeps the watched revision.
type compactingStore struct {
	*fakes.KVClient
	every int
	calls int
}

func (f *compactingStore) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	if f.calls++; f.calls%f.every == 0 {
		return wire.WatchResponse{}, kvstore.ErrCompacted
	}
	return f.KVClient.Watch(ctx, prefix, rev, block)
}

// Whatever the watch forgets or repeats, the listener ends up with what the
// service holds, and never hears an older value of a key after a newer one.
func TestReplicaConvergesAfterCompactionAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		v := &fakes.KVClient{KVStore: st}
		known, last := map[string]string{}, map[string]uint64{}
		tell := func(evs []kvstore.Event, _ uint64) {
			for _, e := range evs {
				require.GreaterOrEqual(t, e.ModRevision, last[e.Key], e.Key)
				last[e.Key] = e.ModRevision
				if e.Value == nil {
					delete(known, e.Key)
				} else {
					known[e.Key] = string(e.Value)
				}
			}
		}
		r := kvstore.NewReplica(&compactingStore{KVClient: v, every: 5}, tell, slog.New(slog.NewTextHandler(io.Discard, nil)))
		ctx, stop := context.WithCancel(t.Context())
		loaded := make(chan struct{})
		go r.Run(ctx, loaded) //nolint:errcheck // ends with the context
		<-loaded
		rng := fakes.Rand(7)
		for i := range 300 {
			key := fmt.Sprintf("%s%d", kvstore.ActiveJobPrefix, rng.IntN(8))
			op := wire.Operation{Put: key, Value: i}
			if rng.IntN(3) == 0 {
				op = wire.Operation{Drop: key}
			}
			_, err := v.Commit(ctx, wire.Txn{Operations: []wire.Operation{op}})
			require.NoError(t, err)
			if i == 100 {
				st.SetDown(true)
				time.Sleep(5 * time.Second)
				st.SetDown(false)
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		items, _, err := v.List(ctx, kvstore.ActiveJobPrefix)
		require.NoError(t, err)
		want := map[string]string{}
		for _, it := range items {
			want[it.Key] = string(it.Value)
		}
		stop()
		synctest.Wait()
		require.Equal(t, want, known)
	})
}
