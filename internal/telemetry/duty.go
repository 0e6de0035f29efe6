package telemetry

import (
	"sync/atomic"
	"time"
)

// Duty counts the rounds of a long-lived loop, how long they took and how late its timer fired. It is safe
// for concurrent use; a nil duty counts nothing.
type Duty struct {
	roundCount atomic.Int64
	busyNS     atomic.Int64
	longestNS  atomic.Int64
	latestNS   atomic.Int64
}

// Round counts a round and its duration.
func (d *Duty) Round(took time.Duration) {
	if d == nil {
		return
	}
	d.roundCount.Add(1)
	d.busyNS.Add(int64(took))
	storeMax(&d.longestNS, int64(took))
}

// Late records by how much a timer fired later than it was set for.
func (d *Duty) Late(by time.Duration) {
	if d != nil {
		storeMax(&d.latestNS, int64(by))
	}
}

// storeMax raises a maximum to a value.
func storeMax(maximum *atomic.Int64, value int64) {
	for {
		old := maximum.Load()
		if value <= old || maximum.CompareAndSwap(old, value) {
			return
		}
	}
}

// dutyStats is what a duty did since its counters were last read.
type dutyStats struct {
	rounds        int64
	busy          time.Duration
	longest, late time.Duration
}

// readAndReset reads the counters and sets them to 0.
func (d *Duty) readAndReset() dutyStats {
	return dutyStats{
		rounds:  d.roundCount.Swap(0),
		busy:    time.Duration(d.busyNS.Swap(0)),
		longest: time.Duration(d.longestNS.Swap(0)),
		late:    time.Duration(d.latestNS.Swap(0)),
	}
}
