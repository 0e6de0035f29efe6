package telemetry

import (
	"sync/atomic"
	"time"
)

// Duty counts the rounds of a long-lived loop, how long they took and how late its
// timer fired. All methods accept a nil receiver, which counts nothing.
type Duty struct {
	roundCount atomic.Int64
	busyNS     atomic.Int64
	longestNS  atomic.Int64
	latestNS   atomic.Int64
}

// Round counts one round that took so long.
func (d *Duty) Round(took time.Duration) {
	if d == nil {
		return
	}
	d.roundCount.Add(1)
	d.busyNS.Add(int64(took))
	storeMax(&d.longestNS, int64(took))
}

// Late notes by how much a timer fired later than it was set for.
func (d *Duty) Late(by time.Duration) {
	if d != nil {
		storeMax(&d.latestNS, int64(by))
	}
}

func storeMax(most *atomic.Int64, value int64) {
	for {
		old := most.Load()
		if value <= old || most.CompareAndSwap(old, value) {
			return
		}
	}
}

// dutyStats is what a duty did since the last reading.
type dutyStats struct {
	rounds        int64
	busy          time.Duration
	longest, late time.Duration
}

// readAndReset reads the counters and begins anew.
func (d *Duty) readAndReset() dutyStats {
	return dutyStats{d.roundCount.Swap(0), time.Duration(d.busyNS.Swap(0)),
		time.Duration(d.longestNS.Swap(0)), time.Duration(d.latestNS.Swap(0))}
}
