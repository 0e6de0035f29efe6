package leaderelection

import (
	"context"
	"encoding/json"
	"io"
	"log/slog"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

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

// process is a controller's keeper and replica in a test's bubble.
type process struct {
	*Elector
	store *fakes.KVClient
	stop  context.CancelFunc
}

var duties = []string{"one", "two", "three"}

func startProcess(t *testing.T, st *fakes.KVStore, host string) *process {
	ctx, cancel := context.WithCancel(t.Context())
	v := &fakes.KVClient{KVStore: st}
	k := NewElector(NewElection(host, []string{"a", "b", "c"}, duties, 2), v, clock.NewSteady(), timing, discardLog)
	r := kvstore.NewReplica(v, k.Apply, discardLog)
	go k.Run(ctx)                      //nolint:errcheck // ends with the context
	go r.Run(ctx, make(chan struct{})) //nolint:errcheck // ends with the context
	return &process{k, v, cancel}
}

func (p *process) leads(duty string) bool {
	_, ok := p.Leading(duty)
	return ok
}

// slowStore is a way to a state service that answers renewals late.
type slowStore struct {
	*fakes.KVClient
	by time.Duration
}

func (s slowStore) KeepAlive(ctx context.Context, hold uint64, timeout time.Duration) error {
	time.Sleep(min(s.by, timeout))
	if s.by > timeout {
		return kvstore.ErrOutcomeUnknown
	}
	return s.KVClient.KeepAlive(ctx, hold, timeout)
}

// The state service answers two seconds late for a minute: duties are kept.
func TestSlowStoreKeepsLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		v := slowStore{&fakes.KVClient{KVStore: fakes.NewKVStore()}, 2 * time.Second}
		k := NewElector(NewElection("a", []string{"a", "b", "c"}, duties, 2), v, clock.NewSteady(), timing, discardLog)
		go k.Run(ctx)                                                               //nolint:errcheck // ends with the context
		go kvstore.NewReplica(v, k.Apply, discardLog).Run(ctx, make(chan struct{})) //nolint:errcheck // ends with the context
		time.Sleep(5 * time.Second)
		for range 60 {
			_, ok := k.Leading(duties[0])
			require.True(t, ok)
			time.Sleep(time.Second)
		}
		cancel()
		time.Sleep(4 * time.Second) // the last renewal comes back
	})
}

// Each takes the duty it is preferred for; each duty has one holder.
func TestLeadershipsAreAcquiredByTheirPreferredLeaders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b, c := startProcess(t, st, "a"), startProcess(t, st, "b"), startProcess(t, st, "c")
		time.Sleep(2 * time.Second)
		require.True(t, a.leads("one") && b.leads("two") && c.leads("three"))
		require.False(t, a.leads("two") || b.leads("one"))
	})
}

// A restarted process replaces its former incarnation at once; the former one,
// should it live, is out.
func TestRestartAcquiresLeadershipsUnderNewTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		first, _ := a.Leading("one")
		again := startProcess(t, st, "a")
		time.Sleep(time.Second)
		second, ok := again.Leading("one")
		require.True(t, ok)
		require.Equal(t, first.Term+1, second.Term)
		require.False(t, a.leads("one"))
	})
}

// A process that is gone for good loses its duties when its hold ends, not before.
func TestLeadershipMovesWhenLeaseExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b := startProcess(t, st, "a"), startProcess(t, st, "b")
		time.Sleep(10 * time.Second)
		require.True(t, a.leads("one"))
		a.stop()
		time.Sleep(20 * time.Second)
		require.False(t, b.leads("one"))
		time.Sleep(4700 * time.Millisecond)
		require.True(t, b.leads("one"), "at once: whoever was away for its whole hold is not waited for")
	})
}

// An outage of the state service of 20 s ends nobody's duties; a longer one
// ends them by the holder's own clock, and a new term begins after it.
func TestOutageLongerThanLeaseEndsLeaderships(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		first, _ := a.Leading("one")
		st.SetDown(true)
		for range 20 {
			time.Sleep(time.Second)
			require.True(t, a.leads("one"))
		}
		st.SetDown(false)
		time.Sleep(3 * time.Second)
		same, ok := a.Leading("one")
		require.True(t, ok)
		require.Equal(t, first.Term, same.Term)
		st.SetDown(true)
		time.Sleep(28 * time.Second)
		require.False(t, a.leads("one"), "the hold may have ended by now")
		st.SetDown(false)
		time.Sleep(3 * time.Second)
		next, ok := a.Leading("one")
		require.True(t, ok)
		require.Greater(t, next.Term, first.Term)
	})
}

// One controller alone is refused by the state service. At no time do two hold
// the same duty; told by a peer that can reach it, it gives up early.
func TestIsolatedLeaderResignsWhenPeerHasContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b := startProcess(t, st, "a"), startProcess(t, st, "b")
		time.Sleep(10 * time.Second)
		a.store.SetCut(true)
		time.Sleep(6 * time.Second)
		a.ObservePeer(0)
		require.False(t, a.leads("one"))
		_, resigned := a.StoreContact()
		b.RemoveResigned(t.Context(), "a", resigned)
		time.Sleep(4 * time.Second)
		require.True(t, b.leads("one"))
		require.False(t, a.leads("one"))
		a.store.SetCut(false)
		time.Sleep(2 * time.Second)
		require.True(t, b.leads("one") != a.leads("one"))
	})
}

// clusterWithoutA has three controllers share the duties, and the first go away for long. It
// gives the second.
func clusterWithoutA(t *testing.T, st *fakes.KVStore) *process {
	a, b := startProcess(t, st, "a"), startProcess(t, st, "b")
	startProcess(t, st, "c")
	time.Sleep(10 * time.Second)
	a.stop()
	time.Sleep(40 * time.Second)
	return b
}

// A controller that was away for long finds its duties with others; they come
// back to it once it has stayed, each under a new term, and never with two holders.
func TestLeadershipReturnsToPreferredLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		b := clusterWithoutA(t, st)
		held, ok := b.Leading("one")
		require.True(t, ok)
		again := startProcess(t, st, "a")
		for range 400 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, again.leads("one") && b.leads("one"))
		}
		back, ok := again.Leading("one")
		require.True(t, ok)
		require.Greater(t, back.Term, held.Term)
		require.True(t, b.leads("two"), "what is meant for b stays")
	})
}

// A holder that hands a duty over doesn't act on it from then on, although the write that
// frees it was refused or had no answer: another may have the duty already.
func TestTransferredLeadershipIsNotActedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		b := clusterWithoutA(t, st)
		require.True(t, b.leads("one"))
		startProcess(t, st, "a")
		time.Sleep(14 * time.Second)
		require.True(t, b.leads("one"), "a has not been back for long enough")
		b.store.SetCut(true)
		time.Sleep(3 * time.Second)
		require.False(t, b.leads("one"), "its turn to hand it over has come")
		holder, ok := b.Leader("one")
		require.True(t, ok && holder == "b", "the claim says still that it is b's")
	})
}

// A controller is cut off from the workers: those of its duties that need them
// go to others at once and stay there, the rest stays; once it reaches workers
// again its own come back.
func TestUnreachableControllerTransfersOnlyWorkerDuties(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a, b, c := startProcess(t, st, "a"), startProcess(t, st, "b"), startProcess(t, st, "c")
		time.Sleep(20 * time.Second)
		require.True(t, a.leads("one") && b.leads("two") && c.leads("three"))
		a.SetUnreachable(true)
		c.SetUnreachable(true)
		for range 20 {
			time.Sleep(100 * time.Millisecond)
			require.False(t, a.leads("one") && b.leads("one"))
		}
		require.True(t, b.leads("one") && c.leads("three"))
		time.Sleep(40 * time.Second)
		require.True(t, b.leads("one") && b.leads("two") && c.leads("three"))
		a.SetUnreachable(false)
		time.Sleep(20 * time.Second)
		require.True(t, a.leads("one") && b.leads("two"))
	})
}

// The number of controllers was changed, and with it the partitions. A new
// duty's term is above those of the duties that were there before.
func TestNewDutyTermExceedsAllFormerTerms(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		_, err := (&fakes.KVClient{KVStore: st}).Commit(t.Context(), wire.Txn{Operations: []wire.Operation{
			{Put: kvstore.LeaderPrefix + "part-of-old", Value: Record{"a", "gone", 41}}}})
		require.NoError(t, err)
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		h, ok := a.Leading("one")
		require.True(t, ok)
		require.EqualValues(t, 42, h.Term)
	})
}

// A controller that restarts in an outage has had no contact at all: it must
// not make its peers believe that they alone are cut off.
func TestRestartInOutageReportsNoContact(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(10 * time.Second)
		st.SetDown(true)
		time.Sleep(8 * time.Second)
		b := startProcess(t, st, "b")
		for range 50 {
			time.Sleep(100 * time.Millisecond)
			ago, _ := b.StoreContact()
			a.ObservePeer(ago)
			require.True(t, a.leads("one"), "the outage is shared: duties go on")
		}
		st.SetDown(false)
		time.Sleep(2 * time.Second)
		ago, _ := b.StoreContact()
		require.Less(t, ago, 3*clock.Second)
	})
}

// An outage that all share is told apart from being cut off alone.
func TestSharedOutageIsToldFromIsolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		a := startProcess(t, st, "a")
		time.Sleep(10 * time.Second)
		require.False(t, a.SharedOutage())
		st.SetDown(true)
		time.Sleep(6 * time.Second)
		require.False(t, a.SharedOutage(), "no peer says so")
		a.ObservePeer(6 * clock.Second)
		require.True(t, a.SharedOutage())
		a.ObservePeer(clock.Second)
		require.False(t, a.SharedOutage(), "a peer has contact")
	})
}

// A claim's write is held up and arrives when the claim has moved on.
func TestLateRegistrationIsRejected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		st := fakes.NewKVStore()
		st.SetCapture(true)
		a := startProcess(t, st, "a")
		time.Sleep(time.Second)
		a.stop()
		st.SetCapture(false)
		b := startProcess(t, st, "a")
		time.Sleep(time.Second)
		before, ok := b.Leading("one")
		require.True(t, ok)
		require.Zero(t, st.Release(), "a late registration must not replace the newer one")
		time.Sleep(time.Second)
		after, ok := b.Leading("one")
		require.True(t, ok)
		require.Equal(t, before, after)
	})
}

// What controllers of the version before have written is read by this one, and the other
// way round: records keep their fields' names.
func TestRecordsKeepTheirJSONFields(t *testing.T) {
	for want, record := range map[string]any{
		`{"holder":"a","incarnation":"i","term":3}`: Record{Leader: "a", Incarnation: "i", Term: 3},
		`{"incarnation":"i","deaf":true}`:           Registration{Incarnation: "i", Unreachable: true},
	} {
		b, err := json.Marshal(record)
		require.NoError(t, err)
		require.JSONEq(t, want, string(b))
	}
}
