package telemetry

import (
	"sync/atomic"
	"time"
)

// Duty counts the rounds of a long-lived loop or of a request handler, and records their durations and the delay
// of the loop's timer. It is safe for concurrent use; a nil Duty counts nothing.
type Duty struct {
	roundCount atomic.Int64
	busyNS     atomic.Int64
	longestNS  atomic.Int64
	maxLateNS  atomic.Int64
}

// RecordRound counts one round and adds its duration.
func (d *Duty) RecordRound(duration time.Duration) {
	if d == nil {
		return
	}
	d.roundCount.Add(1)
	d.busyNS.Add(int64(duration))
	storeMax(&d.longestNS, int64(duration))
}

// RecordDelay records how long after its due time the loop's timer fired.
func (d *Duty) RecordDelay(delay time.Duration) {
	if d != nil {
		storeMax(&d.maxLateNS, int64(delay))
	}
}

// storeMax sets maximum to value if value is larger.
func storeMax(maximum *atomic.Int64, value int64) {
	for {
		old := maximum.Load()
		if value <= old || maximum.CompareAndSwap(old, value) {
			return
		}
	}
}

// dutyStats holds a duty's counters since they were last read.
type dutyStats struct {
	rounds        int64
	busy          time.Duration
	longest, late time.Duration
}

// readAndReset returns the counters and sets them to 0.
func (d *Duty) readAndReset() dutyStats {
	return dutyStats{
		rounds:  d.roundCount.Swap(0),
		busy:    time.Duration(d.busyNS.Swap(0)),
		longest: time.Duration(d.longestNS.Swap(0)),
		late:    time.Duration(d.maxLateNS.Swap(0)),
	}
}
