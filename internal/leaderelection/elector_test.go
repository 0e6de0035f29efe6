package leaderelection

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Tests of the elector's I/O: log events, errors, and passes after the incarnation has resigned.

// eventLog collects the level, message and attribute keys of each log event.
type eventLog struct {
	mu     sync.Mutex
	events []string
}

// logger returns a logger that adds its events to l.
func (l *eventLog) logger() *slog.Logger {
	return slog.New(&eventHandler{slog.NewTextHandler(io.Discard, nil), l})
}

func (l *eventLog) count(event string) (n int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, e := range l.events {
		if e == event {
			n++
		}
	}
	return n
}

type eventHandler struct {
	slog.Handler
	log *eventLog
}

func (*eventHandler) Enabled(context.Context, slog.Level) bool { return true }

func (h *eventHandler) Handle(_ context.Context, r slog.Record) error {
	parts := []string{r.Level.String(), r.Message}
	r.Attrs(func(a slog.Attr) bool {
		parts = append(parts, a.Key)
		return true
	})
	h.log.mu.Lock()
	defer h.log.mu.Unlock()
	h.log.events = append(h.log.events, strings.Join(parts, " "))
	return nil
}

func TestStateChangesAreLoggedWithKeys(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		kv := fakes.NewKVStore()
		log := &eventLog{}
		b := startProcessWithLog(t, kv, "b", log.logger())
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, log.count("INFO controller registered incarnation"))
		require.Equal(t, 3, log.count("INFO leadership acquired duty"))
		a := startProcess(t, kv, "a")
		time.Sleep(20 * time.Second)
		require.Equal(t, 1, log.count("INFO leadership transferred duty"))
		b.SetUnreachable(true)
		time.Sleep(2 * time.Second)
		require.Equal(t, 1, log.count("INFO reachability published unreachable"))
		b.RemoveResigned(t.Context(), "a", a.election.incarnation)
		require.Equal(t, 1, log.count("INFO peer registration removed peer"))
		b.store.SetDisconnected(true)
		time.Sleep(10 * time.Second)
		require.Equal(t, 1, log.count("WARN lease renewal failed error"), "only the first of several failures is logged")
		b.RecordPeerContact(0)
		time.Sleep(5 * time.Second)
		require.Equal(t, 1, log.count("WARN leaderships resigned incarnation reason"))
		require.Equal(t, 1, log.count("WARN registration failed attempts error"), "only the first of several failures is logged")
	})
}

// failingStore fails at one step of a registration.
type failingStore struct {
	*fakes.KVClient
	get, grant, commit error
}

func (s failingStore) Get(ctx context.Context, key string) (wire.Item, bool, error) {
	if s.get != nil {
		return wire.Item{}, false, s.get
	}
	return s.KVClient.Get(ctx, key)
}

func (s failingStore) GrantLease(ctx context.Context, ttl time.Duration) (uint64, error) {
	if s.grant != nil {
		return 0, s.grant
	}
	return s.KVClient.GrantLease(ctx, ttl)
}

func (s failingStore) Commit(ctx context.Context, txn wire.Txn) (uint64, error) {
	if s.commit != nil {
		return 0, s.commit
	}
	return s.KVClient.Commit(ctx, txn)
}

func TestRegistrationErrorNamesTheStep(t *testing.T) {
	cause := errors.New("cause")
	for want, store := range map[string]failingStore{
		"read former registration": {get: cause},
		"create controller lease":  {grant: cause},
		"write registration":       {commit: cause},
	} {
		t.Run(want, func(t *testing.T) {
			store.KVClient = &fakes.KVClient{KVStore: fakes.NewKVStore()}
			e := NewElector(NewElection("a", []string{"a"}, duties, 2), store, clock.NewMonotonic(), timing, discardLog)
			err := e.register(t.Context())
			require.ErrorIs(t, err, cause)
			require.ErrorContains(t, err, want)
			require.False(t, e.LeaseValid())
		})
	}
}

// An incarnation resigns while no pass is under way. The next pass must keep its name, by which the peers remove its
// registration.
func TestPassWithoutIncarnationKeepsResignedName(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		store := &fakes.KVClient{KVStore: fakes.NewKVStore()}
		e := NewElector(NewElection("a", []string{"a", "b"}, duties, 2), store, clock.NewMonotonic(), timing, discardLog)
		require.NoError(t, e.register(t.Context()))
		incarnation, _ := e.election.Incarnation()
		time.Sleep(timing.ResignAfter.Duration() + time.Second)
		e.RecordPeerContact(0)
		e.pass(t.Context())
		_, resigned := e.StoreContact()
		require.Equal(t, incarnation, resigned)
	})
}
