package fakes

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

func TestCopiesDeliverDrawnShareWithinLongestDelay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const messages = 1000
		copies := NewCopies(1, 0.3)
		var delivered atomic.Int64
		for range messages {
			copies.Keep(DirectCommand, func() { delivered.Add(1) })
		}
		time.Sleep(time.Second)
		synctest.Wait()
		early := delivered.Load()
		require.Positive(t, early, "some copies arrive within a second")
		time.Sleep(maxCopyDelay)
		synctest.Wait()
		require.Greater(t, delivered.Load(), early, "others later")
		require.InDelta(t, 0.3*messages, delivered.Load(), 60)
		require.EqualValues(t, delivered.Load(), copies.Delivered(DirectCommand))
		require.Zero(t, copies.Delivered(Heartbeat))
	})
}

func TestStoppedCopiesDeliverNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		copies := NewCopies(1, 1)
		copies.Keep(UserRequest, func() { t.Error("delivered") })
		copies.Stop()
		time.Sleep(maxCopyDelay)
		synctest.Wait()
	})
}

func TestNilCopiesDeliverNothing(t *testing.T) {
	var copies *Copies
	copies.Keep(UserRequest, func() { t.Error("delivered") })
	copies.Stop()
}
