package kvstore_test

import (
	"context"
	"fmt"
	"testing"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
)

// BenchmarkReplicaLoad measures the full read of 400 keys at the start of a replica.
func BenchmarkReplicaLoad(b *testing.B) {
	store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
	for i := range 400 {
		job := wire.Job{ID: "job", Class: "class", Team: "red", Tasks: 100}
		op := wire.Operation{Put: fmt.Sprintf("%sjob-%06d", kvstore.ActiveJobPrefix, i), Value: job}
		if _, err := store.Commit(b.Context(), wire.Txn{Operations: []wire.Operation{op}}); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportAllocs()
	for b.Loop() {
		ctx, stop := context.WithCancel(b.Context())
		loaded, stopped := make(chan struct{}), make(chan struct{})
		r := kvstore.NewReplica(store, func([]kvstore.Event, uint64) {}, discardLog)
		go func() {
			defer close(stopped)
			r.Run(ctx, loaded) //nolint:errcheck // ends with the context
		}()
		<-loaded
		stop()
		<-stopped
	}
}
