package loop

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestNotificationsBeforeReceiptCountAsOne(t *testing.T) {
	s := NewSignal()
	s.Notify()
	s.Notify()
	require.Len(t, s, 1)
	<-s
	require.Empty(t, s)
}

func TestPauseEndsByTimeSignalOrContext(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		start := time.Now()
		require.True(t, Pause(ctx, time.Second))
		require.Equal(t, time.Second, time.Since(start))

		wake := NewSignal()
		time.AfterFunc(2*time.Second, wake.Notify)
		require.True(t, PauseOrWake(ctx, time.Minute, wake))
		require.Equal(t, 3*time.Second, time.Since(start))

		time.AfterFunc(time.Second, cancel)
		require.False(t, Pause(ctx, time.Minute))
		require.Equal(t, 4*time.Second, time.Since(start))
	})
}

func TestRepeatedFailureIsLoggedFirstAndEveryInterval(t *testing.T) {
	var logged []int
	for n := 1; n <= 2*failureLogInterval+1; n++ {
		if ShouldLogFailure(n) {
			logged = append(logged, n)
		}
	}
	require.Equal(t, []int{1, 33, 65}, logged)
}
