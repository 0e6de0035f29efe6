package kvstore

import (
	"io"
	"log/slog"
	"testing"

	"github.com/merlinlatch/merlinlatch/wire"
)

// One change that a watch tells of, among many keys that are known.
func BenchmarkReplicaChange(b *testing.B) {
	told := 0
	r := NewReplica(nil, func(events []Event, _ uint64) { told += len(events) }, slog.New(slog.NewTextHandler(io.Discard, nil)))
	rev := uint64(0)
	change := func() {
		rev++
		r.applyChanges(wire.WatchResponse{Revision: rev, Changes: []wire.Change{{Put: ActiveJobPrefix + "job-000001", Value: []byte(`{}`), ModRevision: rev}}})
	}
	b.ReportAllocs()
	for b.Loop() {
		change()
	}
	if told != int(rev) {
		b.Fatal("a change was not told of")
	}
}
