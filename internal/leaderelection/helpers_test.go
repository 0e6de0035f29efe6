package leaderelection

import (
	"context"
	"io"
	"log/slog"
	"sync"
	"testing"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/wire"
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
	return &process{startElector(ctx, store, controller, log), store, cancel}
}

// storeClient is a controller's client of a key-value store.
type storeClient interface {
	Store
	kvstore.Source
}

// startElector starts the elector of one of the controllers a, b and c, and its replica of the store. Both end with ctx.
func startElector(ctx context.Context, store storeClient, controller string, log *slog.Logger) *Elector {
	e := NewElector(NewElection(controller, []string{"a", "b", "c"}, duties, 2), store, clock.NewMonotonic(), timing, log)
	r := kvstore.NewReplica(store, e.Apply, discardLog)
	go e.Run(ctx)                      //nolint:errcheck // ends with the context
	go r.Run(ctx, make(chan struct{})) //nolint:errcheck // ends with the context
	return e
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

// cutStore is a client of a key-value store whose packets can be held up: renewals that are sent, or only the answers to them,
// arrive when the cut ends, also those of renewals that have timed out. Other requests wait until then.
type cutStore struct {
	*fakes.KVClient
	answersOnly bool // requests pass, and only the answers are held up

	mu    sync.Mutex
	ended chan struct{} // closed when the present cut ends; nil: no cut
}

// cut begins a cut and returns a function that ends it.
func (s *cutStore) cut() (end func()) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ended := make(chan struct{})
	s.ended = ended
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ended = nil
		close(ended)
	}
}

// await waits until no cut holds up packets.
func (s *cutStore) await() {
	s.mu.Lock()
	ended := s.ended
	s.mu.Unlock()
	if ended != nil {
		<-ended
	}
}

func (s *cutStore) KeepAlive(ctx context.Context, leaseID uint64, timeout time.Duration) error {
	return fakes.AnswerWithin(timeout, func() error {
		if !s.answersOnly {
			s.await()
		}
		err := s.KVClient.KeepAlive(ctx, leaseID, timeout)
		s.await()
		return err
	})
}

func (s *cutStore) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	s.await()
	return s.KVClient.Get(ctx, key)
}

func (s *cutStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	s.await()
	return s.KVClient.GrantLease(ctx, ttl)
}

func (s *cutStore) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	s.await()
	return s.KVClient.Commit(ctx, txn)
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
