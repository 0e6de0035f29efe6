package kvstore

import (
	"io"
	"log/slog"
	"testing"

	"github.com/merlinlatch/merlinlatch/wire"
)

// BenchmarkReplicaChange measures the handling of one change in a watch response.
func BenchmarkReplicaChange(b *testing.B) {
	notified := 0
	r := NewReplica(nil, func(events []Event, _ uint64) { notified += len(events) }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	rev := uint64(0)
	change := func() {
		rev++
		r.applyChanges(wire.WatchResponse{Revision: rev, Changes: []wire.Change{
			{Put: ActiveJobPrefix + "job-000001", Value: []byte(`{}`), ModRevision: rev}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		change()
	}
	if notified != int(rev) {
		b.Fatal("the listener was not notified of every change")
	}
}
