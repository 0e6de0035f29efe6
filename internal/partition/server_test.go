package partition

import (
	"context"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/wire"
)

// expiringLeadership is the Elections of a process that has every leadership for a number of checks, and then loses
// it.
type expiringLeadership struct{ remaining int }

func (l *expiringLeadership) Leading(string) (leaderelection.Leadership, bool) {
	l.remaining--
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: 1}, l.remaining >= 0
}

func (*expiringLeadership) Leader(string) (string, bool) { return "me", true }

// A process is paused while it decides on a heartbeat, and its leadership expires. It must not answer with 200, which
// would extend the worker's lease: the leadership is checked again when the response is ready.
func TestHeartbeatAfterLeadershipExpiredIsRejected(t *testing.T) {
	l := newLoadedServer(t, 1)
	for checks, want := range map[int]int{1: 503, 2: 200} {
		l.server.elections = &expiringLeadership{remaining: checks}
		l.heartbeats[0].Tick++
		body, err := json.Marshal(&l.heartbeats[0])
		require.NoError(t, err)
		require.Equal(t, want, l.server.HandleHeartbeat(body).Status, "leadership held for %d checks", checks)
	}
}

// The leadership of a process expires before a delivery is sent. Its commands must be dropped.
func TestCommandsAfterLeadershipExpiredAreNotSent(t *testing.T) {
	listener, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	l := newLoadedServer(t, 1)
	l.server.elections = &expiringLeadership{}
	ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
	defer cancel()
	orders := &wire.Orders{FencingToken: firstToken(1) + 1, Incarnation: 1}
	_, err = l.server.postCommands(ctx, 0, httpx.NewClient(listener.Addr().String(), 1, 1<<10), orders)
	require.ErrorIs(t, err, errNotLeader)
	l.server.elections = allLeaderships{}
	orders.FencingToken = firstToken(2) + 1 // of a term that this process does not have
	_, err = l.server.postCommands(ctx, 0, httpx.NewClient(listener.Addr().String(), 1, 1<<10), orders)
	require.ErrorIs(t, err, errNotLeader)
}

// panickingLeadership is the Elections of a process with a fault.
type panickingLeadership struct{ allLeaderships }

func (panickingLeadership) Leading(string) (leaderelection.Leadership, bool) { panic("fault") }

// A panic must end the process at once. Guards against a loop that first waits for its deliveries: meanwhile the process would answer polls
// as one that has stopped, renew its leaderships, and do nothing for its machines.
func TestPanicDoesNotWaitForDeliveries(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadedServer(t, 1)
		l.server.elections = panickingLeadership{}
		delivered := make(chan struct{})
		l.server.background.Go(func() { <-delivered })
		begin := time.Now()
		time.AfterFunc(time.Minute, func() { close(delivered) })
		require.PanicsWithValue(t, "fault", func() { _ = l.server.Run(t.Context()) })
		require.Less(t, time.Since(begin), 10*time.Second)
		l.server.background.Wait()
	})
}
