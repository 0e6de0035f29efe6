package partition

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"
)

// A controller that alone leads 1,800 machines delivers to all of them and must never exceed its limit of
// connections. Deliveries that find no connection wait until one is released.
func TestWorkerConnectionsOfLargeFleetStayWithinLimit(t *testing.T) {
	conns := newWorkerConnections(40, dialHTTP(nil))
	inUse := map[string]WorkerClient{}
	sent, waits := 0, 0
	for i := 0; sent < 1800; i++ {
		id := fmt.Sprintf("m-%d", i%1800)
		if inUse[id] != nil {
			continue
		}
		if !conns.available(id) {
			waits++
			for id, c := range inUse { // one delivery ends, while others wait
				require.True(t, conns.release(id, c))
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
	for id, c := range inUse {
		conns.release(id, c)
	}
	require.Equal(t, 40, conns.idle.Len())
	conns.retain(func(string) bool { return false })
	require.Empty(t, conns.byMachine)
	require.Zero(t, conns.idle.Len())
}
