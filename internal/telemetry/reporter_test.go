package telemetry

import (
	"bytes"
	"context"
	"io"
	"log/slog"
	"net"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"
)

// A log event must hold the counts of the last interval only. If the reporter did not subtract the previous values
// of its counters, or did not reset the duties, earlier counts would be logged again.
func TestReporterLogsOnlyCountsOfLastInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out lockedBuffer
		r := NewReporter(slog.New(slog.NewTextHandler(&out, &slog.HandlerOptions{Level: slog.LevelDebug})))
		ctx, stop := context.WithCancel(t.Context())
		go r.Run(ctx) //nolint:errcheck // ends with the context
		synctest.Wait()
		r.Traffic(Workers).CountMessage(100, 20)
		r.Traffic(Workers).CountMessage(10, 2)
		r.Duty("tick").RecordRound(3 * time.Millisecond)
		r.Duty("tick").RecordDelay(7 * time.Millisecond)
		time.Sleep(Interval)
		synctest.Wait()
		require.Contains(t, out.String(), "workers.messages=2 workers.received=110 workers.sent=22")
		require.NotContains(t, out.String(), "users.messages")
		require.Contains(t, out.String(), "tick.rounds=1 tick.busy_us=3000 tick.longest_us=3000 tick.late_us=7000")
		require.Contains(t, out.String(), "goroutines=")
		out.Reset()
		time.Sleep(Interval)
		synctest.Wait()
		require.Contains(t, out.String(), "msg=process")
		require.NotContains(t, out.String(), "workers.messages")
		require.NotContains(t, out.String(), "tick.rounds")
		stop()
		synctest.Wait()
	})
}

// lockedBuffer is a buffer that the reporter's goroutine writes to and the test reads and resets.
type lockedBuffer struct {
	mu     sync.Mutex
	buffer bytes.Buffer
}

func (b *lockedBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.Write(p)
}

func (b *lockedBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buffer.String()
}

func (b *lockedBuffer) Reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.buffer.Reset()
}

// Callers pass nil counters where nothing is measured, and do not check for nil themselves. Counting with a nil
// Reporter, Traffic or Duty must not panic, and a connection must stay as it is.
func TestNilCountersCountNothing(t *testing.T) {
	var r *Reporter
	r.Traffic(Peers).CountMessage(1, 1)
	r.Duty("any").RecordRound(time.Second)
	r.Duty("any").RecordDelay(time.Second)
	r.Counter("any").Inc()
	require.Zero(t, r.Counter("any").Value())
	r.Gauge("any", func() float64 { panic("a nil Reporter reads no gauge") })
	r.WriteMetrics(io.Discard)
	a, b := net.Pipe()
	defer b.Close()
	require.Equal(t, a, r.Traffic(Peers).CountConn(a))
}

// The counters are updated for every message, so an allocation in them would slow down all traffic.
func TestCountingDoesNotAllocate(t *testing.T) {
	r := NewReporter(slog.New(slog.DiscardHandler))
	traffic, duty, counter := r.Traffic(Users), r.Duty("d"), r.Counter("c")
	require.Zero(t, testing.AllocsPerRun(100, func() {
		traffic.CountMessage(1, 2)
		duty.RecordRound(3)
		duty.RecordDelay(4)
		counter.Inc()
	}))
}

// Guards against metrics that monitoring can't read: WriteMetrics must write counters and gauges, with their labels, in
// the Prometheus text format.
func TestMetricsAreWrittenInPrometheusFormat(t *testing.T) {
	r := NewReporter(slog.New(slog.DiscardHandler))
	r.Counter(`events_total{kind="a"}`).Inc()
	r.Counter(`events_total{kind="a"}`).Add(2)
	r.Gauge(`machines`, func() float64 { return 7 })
	var out bytes.Buffer
	r.WriteMetrics(&out)
	require.Equal(t, "events_total{kind=\"a\"} 3\nmachines 7\n", out.String())
}
