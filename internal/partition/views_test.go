package partition

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestEvictionNoticeIsShownWithTimeLeft(t *testing.T) {
	s := newScene(t)
	notice := 30.0
	s.worker.NoticeS = &notice
	s.heartbeat()
	v := s.state.view(s.state.machines["m-1"], 0, s.now+10*sec)
	require.True(t, v.Noticed)
	require.Equal(t, 20*sec, v.NoticeLeft)
}
