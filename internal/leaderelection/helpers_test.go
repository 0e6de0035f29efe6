package leaderelection

import (
	"context"
	"io"
	"log/slog"
	"testing"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

var discardLog = slog.New(slog.NewTextHandler(io.Discard, nil))

var timing = Timing{
	TTL:           24 * clock.Second,
	RenewInterval: 3 * clock.Second / 2,
	TakeoverGrace: 3 * clock.Second,
	ResignAfter:   5 * clock.Second,
	TransferDelay: 15 * clock.Second,
}

// process is a controller's elector with its client of the key-value store, in a synctest bubble.
type process struct {
	*Elector
	store *fakes.KVClient
	stop  context.CancelFunc
}

var duties = []string{"one", "two", "three"}

// startProcess starts one of the controllers a, b and c.
func startProcess(t *testing.T, kv *fakes.KVStore, controller string) *process {
	t.Helper()
	return startProcessWithLog(t, kv, controller, discardLog)
}

func startProcessWithLog(t *testing.T, kv *fakes.KVStore, controller string, log *slog.Logger) *process {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	store := &fakes.KVClient{KVStore: kv}
	e := NewElector(NewElection(controller, []string{"a", "b", "c"}, duties, 2), store, clock.NewMonotonic(), timing, log)
	r := kvstore.NewReplica(store, e.Apply, discardLog)
	go e.Run(ctx)                      //nolint:errcheck // ends with the context
	go r.Run(ctx, make(chan struct{})) //nolint:errcheck // ends with the context
	return &process{e, store, cancel}
}

func (p *process) leads(duty string) bool {
	_, ok := p.Leading(duty)
	return ok
}

// slowStore is a client of a key-value store that renews leases only after a delay. A renewal that is delayed beyond its
// timeout is not carried out, and its outcome is unknown.
type slowStore struct {
	*fakes.KVClient
	delay time.Duration
}

func (s slowStore) KeepAlive(ctx context.Context, leaseID uint64, timeout time.Duration) error {
	time.Sleep(min(s.delay, timeout))
	if s.delay > timeout {
		return kvstore.ErrOutcomeUnknown
	}
	return s.KVClient.KeepAlive(ctx, leaseID, timeout)
}

// startClusterAndStopA starts three controllers, waits until they share the duties, and stops a for longer than its lease. It
// returns b.
func startClusterAndStopA(t *testing.T, kv *fakes.KVStore) *process {
	t.Helper()
	a, b := startProcess(t, kv, "a"), startProcess(t, kv, "b")
	startProcess(t, kv, "c")
	time.Sleep(10 * time.Second)
	a.stop()
	time.Sleep(40 * time.Second)
	return b
}
