package partition

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
)

// A controller that alone leads 1,800 machines delivers to all of them and must never exceed its limit of
// connections. Deliveries that find no connection wait until one is released.
func TestWorkerConnectionsOfLargeFleetStayWithinLimit(t *testing.T) {
	conns := newWorkerConnections(40, dialHTTP(nil))
	inUse := map[string]*workerConnection{}
	sent, waits := 0, 0
	for i := 0; sent < 1800; i++ {
		id := fmt.Sprintf("m-%d", i%1800)
		if inUse[id] != nil {
			continue
		}
		if conns.check(id) != connectionAvailable {
			waits++
			for id, c := range inUse { // one delivery ends, while others wait
				require.True(t, conns.release(c))
				delete(inUse, id)
				break
			}
			continue
		}
		inUse[id] = conns.acquire(id, "10.0.0.1:1")
		sent++
		require.LessOrEqual(t, len(conns.byMachine), 40)
	}
	require.Positive(t, waits)
	for _, c := range inUse {
		conns.release(c)
	}
	require.Equal(t, 40, conns.idle.Len())
	conns.retain(func(string) bool { return false })
	require.Empty(t, conns.byMachine)
	require.Zero(t, conns.idle.Len())
}

// A second delivery to a machine must not get the connection of the first one, and a second release must change nothing.
func TestConnectionIsUsedByOneDeliveryAtATime(t *testing.T) {
	conns := newWorkerConnections(1, dialHTTP(nil))
	first := conns.acquire("m-1", "10.0.0.1:1")
	require.Equal(t, connectionInUse, conns.check("m-1"))
	require.Equal(t, connectionsExhausted, conns.check("m-2"))
	require.True(t, conns.release(first))
	require.False(t, conns.release(first))
	require.Equal(t, 1, conns.idle.Len())
	require.Equal(t, connectionAvailable, conns.check("m-2"))
	second := conns.acquire("m-2", "10.0.0.2:1")
	require.Zero(t, conns.idle.Len())
	require.False(t, conns.release(first), "it was closed to make way")
	require.Equal(t, connectionsExhausted, conns.check("m-1"))
	require.True(t, conns.release(second))
}

// A machine is removed while a delivery is under way, and added again: the connection of that delivery counts until it ends, and its
// release must not be taken for that of the new connection.
func TestConnectionClosedInUseCountsUntilReleased(t *testing.T) {
	conns := newWorkerConnections(2, dialHTTP(nil))
	former := conns.acquire("m-1", "10.0.0.1:1")
	conns.retain(func(string) bool { return false })
	require.Empty(t, conns.byMachine)
	require.Equal(t, connectionAvailable, conns.check("m-1"))
	present := conns.acquire("m-1", "10.0.0.1:1")
	require.Equal(t, connectionsExhausted, conns.check("m-2"))
	require.True(t, conns.release(former))
	require.Zero(t, conns.idle.Len(), "the new connection is still in use")
	require.Equal(t, connectionAvailable, conns.check("m-2"))
	conns.release(present)
	require.Equal(t, 1, conns.idle.Len())
	require.Zero(t, conns.closedInUse)
}

// blockedClient is a worker that does not answer before its caller gives up.
type blockedClient struct{ addr string }

func (c *blockedClient) Addr() string { return c.addr }
func (*blockedClient) Close()         {}
func (*blockedClient) Do(ctx context.Context, _, _ string, _ []byte) (*httpx.Response, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

// suspectRestart makes a delivery to a machine due.
func (l *loadedServer) suspectRestart(machine string) {
	l.server.mu.Lock()
	defer l.server.mu.Unlock()
	m := l.server.state.machines[machine]
	m.delivery.restartSuspected, m.delivery.probedAt = true, 0
	l.server.state.deliveryCandidates[machine] = m
}

// The partition is lost and acquired again while a delivery is under way, and the machine then disappears. Guards against a connection
// that is listed as idle twice: at the limit of connections its left-over entry ended the process, in a goroutine that first waited.
func TestDeliveryUnderWayOutlivesPartition(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		l := newLoadedServer(t, 4)
		dial := func(addr string) WorkerClient { return &blockedClient{addr} }
		l.server.connections = newWorkerConnections(1, dial)
		deliver := func(machine string) {
			l.suspectRestart(machine)
			l.server.startDeliveries(t.Context())
		}
		time.Sleep(time.Second)
		deliver("m-000000")
		l.releasePartition()
		l.server.Reconcile()
		for i := range l.heartbeats {
			l.heartbeat(i)
			l.record(l.heartbeats[i].Machine)
		}
		deliver("m-000000")
		time.Sleep(deliveryTimeout)
		synctest.Wait()
		l.server.mu.Lock()
		l.server.connections.retain(func(id string) bool { return id != "m-000000" })
		l.server.mu.Unlock()
		for _, machine := range []string{"m-000001", "m-000002", "m-000003"} {
			deliver(machine)
			require.LessOrEqual(t, len(l.server.connections.byMachine), 1)
		}
		time.Sleep(deliveryTimeout)
		l.server.background.Wait()
		require.LessOrEqual(t, l.server.connections.idle.Len(), 1)
	})
}
