package partition

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// A repeat of a batch is answered alike; a second start of a task is rejected.
func TestRepeatedBatchIsAnsweredAlike(t *testing.T) {
	s := newScene(t)
	in := peer.Batch{From: "scheduler", Seq: 7, Terms: map[string]uint64{team: 1}, Asks: []peer.Assignment{assignment(0, 1)}}
	first := s.state.HandleBatch(in, "me", s.now)
	again := s.state.HandleBatch(in, "me", s.now)
	require.Equal(t, first, again)
	require.False(t, first.Refused[0])
	require.Len(t, s.tasks(), 1)
	s.seq = 7
	require.False(t, s.acquireLease(0, 2), "the task is there with another attempt")
}
