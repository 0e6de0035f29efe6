package partition

import (
	"testing"

	"github.com/stretchr/testify/require"
)

// A view shows an eviction notice with the time that is left when the view is made, not when the notice arrived.
func TestEvictionNoticeIsShownWithTimeLeft(t *testing.T) {
	s := newFixture(t)
	notice := 30.0
	s.worker.NoticeS = &notice
	s.heartbeat()
	view := s.state.view(s.state.machines["m-1"], 0, s.now+10*sec)
	require.True(t, view.Noticed)
	require.Equal(t, 20*sec, view.NoticeLeft)
}
