package scheduler

import (
	"encoding/base64"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against progress that is lost when the maximum size of a record changes. A record covers as many tasks as fit, and must be
// read with the size that its key names and not with the present one.
func TestProgressRecordsNameTheirSize(t *testing.T) {
	require.Equal(t, MaxTasksPerChunk, tasksPerChunk(7372))
	require.Zero(t, tasksPerChunk(100)%64)
	require.LessOrEqual(t, base64.StdEncoding.EncodedLen(tasksPerChunk(700)/8)+2, 700)
	for _, c := range []chunkID{{0, MaxTasksPerChunk}, {3, MaxTasksPerChunk}, {7, 4096}} {
		got, ok := parseChunkID(c.String())
		require.True(t, ok)
		require.Equal(t, c, got)
	}
	require.Equal(t, "3", chunkID{3, MaxTasksPerChunk}.String(), "the key of a full-size record keeps its form")
	for _, invalid := range []string{"", "x", "1.", "1.7", "-1", "1.-8"} {
		_, ok := parseChunkID(invalid)
		require.False(t, ok, invalid)
	}
	sim := newSimulationWithLimit(t, 1, 4, 0)
	sim.scheduler.HandleProgressRecord("job-1", chunkID{1, 8}, []byte{0b101}, 1)
	sim.addJob("job-1", 20, nil)
	j := sim.scheduler.teams[red].jobs["job-1"]
	require.Equal(t, 2, j.doneCount)
	require.True(t, j.isDone(8) && j.isDone(10))
}
