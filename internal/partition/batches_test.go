package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// A batch whose response was lost is sent again. It must get the same response and change nothing, and a second
// attempt of a task that is already on the machine is rejected.
func TestRepeatedBatchIsAnsweredAlike(t *testing.T) {
	s := newFixture(t)
	batch := peer.Batch{From: "scheduler", Seq: 7, Terms: map[string]uint64{team: 1}, Asks: []peer.Assignment{assignment(0, 1)}}
	first := s.state.HandleBatch(batch, "me", s.now)
	repeated := s.state.HandleBatch(batch, "me", s.now)
	require.Equal(t, first, repeated)
	require.False(t, first.Refused[0])
	require.Len(t, s.tasks(), 1)
	s.seq = 7
	require.False(t, s.assign(0, 2), "another attempt of the task is on the machine")
}
