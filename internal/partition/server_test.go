package partition

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/wire"
)

// expiringLeadership is an election that is won for so many looks more, and then over.
type expiringLeadership struct{ remaining int }

func (l *expiringLeadership) Leading(string) (leaderelection.Leadership, bool) {
	l.remaining--
	return leaderelection.Leadership{Record: leaderelection.Record{Term: 1}, ModRevision: 1}, l.remaining >= 0
}

func (*expiringLeadership) Leader(string) (string, bool) { return "me", true }

// A process that was paused while it decided says nothing: whether it leads the machine's partition is looked at once
// more when the answer is ready.
func TestHeartbeatAfterLeadershipExpiredIsRejected(t *testing.T) {
	l := newLoadedServer(t, 1)
	for looks, want := range map[int]int{1: 503, 2: 200} {
		l.server.elections = &expiringLeadership{remaining: looks}
		l.heartbeats[0].Tick++
		body, err := json.Marshal(&l.heartbeats[0])
		require.NoError(t, err)
		require.Equal(t, want, l.server.HandleHeartbeat(body).Status, "led for %d looks", looks)
	}
}

// The same holds of commands: they are dropped where the leadership is over by the time that they are about to be
// sent.
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
	orders.FencingToken = firstToken(2) + 1 // of a term that is not this process's
	_, err = l.server.postCommands(ctx, 0, httpx.NewClient(listener.Addr().String(), 1, 1<<10), orders)
	require.ErrorIs(t, err, errNotLeader)
}
