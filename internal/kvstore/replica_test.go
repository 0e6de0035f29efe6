package kvstore_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// compactingStore is a key-value store that reports the watched revision as compacted in each call of Watch whose number is a
// multiple of every.
type compactingStore struct {
	*fakes.KVClient
	every int
	calls int
}

func (s *compactingStore) Watch(ctx context.Context, prefix string, rev uint64, block time.Duration) (wire.WatchResponse, error) {
	if s.calls++; s.calls%s.every == 0 {
		return wire.WatchResponse{}, kvstore.ErrCompacted
	}
	return s.KVClient.Watch(ctx, prefix, rev, block)
}

// A watch may lack changes because of a compaction or an outage, and may repeat some. The listener must still end up with what
// the store holds, and must never get an older value of a key after a newer one.
func TestReplicaConvergesAfterCompactionAndOutage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := fakes.NewKVStore()
		client := &fakes.KVClient{KVStore: store}
		known, lastRevisions := map[string]string{}, map[string]uint64{}
		listener := func(events []kvstore.Event, _ uint64) {
			for _, e := range events {
				require.GreaterOrEqual(t, e.ModRevision, lastRevisions[e.Key], e.Key)
				lastRevisions[e.Key] = e.ModRevision
				if e.Value == nil {
					delete(known, e.Key)
				} else {
					known[e.Key] = string(e.Value)
				}
			}
		}
		r := kvstore.NewReplica(&compactingStore{KVClient: client, every: 5}, listener, discardLog)
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
			_, err := client.Commit(ctx, wire.Txn{Operations: []wire.Operation{op}})
			require.NoError(t, err)
			if i == 100 {
				store.SetDown(true)
				time.Sleep(5 * time.Second)
				store.SetDown(false)
			}
			time.Sleep(time.Duration(rng.IntN(300)) * time.Millisecond)
		}
		time.Sleep(30 * time.Second)
		items, _, err := client.List(ctx, kvstore.ActiveJobPrefix)
		require.NoError(t, err)
		want := map[string]string{}
		for _, item := range items {
			want[item.Key] = string(item.Value)
		}
		stop()
		synctest.Wait()
		require.Equal(t, want, known)
	})
}
