package partition

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
)

// A controller that is left alone with 1,800 machines delivers to all of them and never has more connections to them
// than its limit; deliveries that find none available wait for those that are in use.
func TestWorkerConnectionsOfLargeFleetStayWithinLimit(t *testing.T) {
	l := newWorkerConnections(40, nil)
	out := map[string]*httpx.Client{}
	sent, waits := 0, 0
	for i := 0; sent < 1800; i++ {
		id := fmt.Sprintf("m-%d", i%1800)
		if out[id] != nil {
			continue
		}
		if !l.available(id) {
			waits++
			for id, c := range out { // one comes back: others wait
				require.True(t, l.release(id, c))
				delete(out, id)
				break
			}
			continue
		}
		out[id] = l.acquire(id, "10.0.0.1:1")
		sent++
		require.LessOrEqual(t, len(l.byMachine), 40)
	}
	require.Positive(t, waits)
	for id, c := range out {
		l.release(id, c)
	}
	require.Equal(t, 40, l.idle.Len())
	l.retain(func(string) bool { return false })
	require.Empty(t, l.byMachine)
	require.Zero(t, l.idle.Len())
}
