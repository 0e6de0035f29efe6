// Package tasklist bounds the tasks of a machine by what its worker can report.
//
// A worker lists all its tasks in every heartbeat, exited ones included until it is told to forget them, and a request's body has a
// maximum size (wire.MaxBody). A worker whose list is too long can send no heartbeat: its lease ends, and it kills all its tasks. So
// partition leaders lease, and schedulers assign, only what the list has room for, and the autoscaler plans with as much.
//
// An entry counts with the most bytes that it can take before the task is forgotten, since all tasks of a machine may change at the
// same time. Many small tasks could fill the list of a machine that has free CPUs. So they leave part of it to larger tasks,
// see Admits.
package tasklist

import (
	"strconv"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	// otherFieldsBytes is room for all fields of a heartbeat but the list.
	otherFieldsBytes = 1 << 10
	// capacity is how many bytes the list of a machine may take.
	capacity = wire.MaxBody - otherFieldsBytes

	// longestEntry is the entry of a task with an empty name and no attempt number, in its longest state. It has a space after each
	// colon and comma, which an encoder may write.
	longestEntry = `{"shard": "", "try": , "phase": "exited", "cause": "stopped", "stored": true}, `
	// plannedEntryBytes is the size of an entry that is not known yet.
	plannedEntryBytes = len(longestEntry) + len("job-000000/99999") + len("4294967296000")
	// PlannedTasks is about how many tasks the list of a machine can hold.
	PlannedTasks int = capacity / plannedEntryBytes

	// minReserved is for how many larger tasks small ones leave room in the list, at least.
	minReserved = 32
	// maxReserved is the largest such number, about a quarter of the list.
	maxReserved = PlannedTasks / 4
	// longestEntryBytes is the size of the longest entry: a job id has up to 40 digits, a task up to 5, an attempt up to 20.
	longestEntryBytes = len(longestEntry) + len("job-/") + 40 + 5 + 20
	// AmpleTasks is up to how many tasks a list has room for another one, whatever their names are.
	AmpleTasks = (capacity-maxReserved*plannedEntryBytes)/longestEntryBytes - 1
	// wholeCPU is one CPU in resources.Amounts.
	wholeCPU = 1_000_000
)

// EntryBytes returns the most bytes that an attempt can take in a heartbeat.
func EntryBytes(id peer.TaskID) int {
	var digits [20]byte
	taskDigits := len(strconv.AppendInt(digits[:0], int64(id.N), 10))
	attemptDigits := len(strconv.AppendUint(digits[:0], id.Attempt, 10))
	return len(longestEntry) + len(id.Job) + len("/") + taskDigits + attemptDigits
}

// Bytes returns the most bytes that attempts can take in a heartbeat.
func Bytes[V any](attempts map[peer.TaskID]V) (n int) {
	for id := range attempts {
		n += EntryBytes(id)
	}
	return n
}

// HasJob reports whether one of the attempts is of a job.
func HasJob[V any](attempts map[peer.TaskID]V, job string) bool {
	for id := range attempts {
		if id.Job == job {
			return true
		}
	}
	return false
}

// isSmall reports whether a task takes less than a whole CPU and no GPU.
func isSmall(need resources.Amounts) bool { return need.CPU < wholeCPU && need.GPU == 0 }

// Admits reports whether a machine's list has room for an entry of a task. used is the size of the entries that count already, free
// what the machine has free. A small task leaves room for a larger task on each CPU that is free, and for some that may preempt others.
// If no other task of its job is on the list, it leaves half as much room, so that jobs with many small tasks don't keep other jobs from
// running at all. isFirst reports that; it is called only if the answer depends on it.
func Admits(used, entry int, need, free resources.Amounts, isFirst func() bool) bool {
	left := capacity - used - entry
	reservedBytes := reserved(need, free) * plannedEntryBytes
	return left >= reservedBytes || left >= reservedBytes/2 && isFirst()
}

// FreeEntries returns about how many tasks of a size fit into the list of a machine that has a number of tasks.
func FreeEntries(tasks int, need, free resources.Amounts) int {
	return max(0, PlannedTasks-tasks-reserved(need, free))
}

// reserved returns the number of entries that are left to larger tasks.
func reserved(need, free resources.Amounts) int {
	if !isSmall(need) {
		return 0
	}
	return min(max(int(free.CPU/wholeCPU), minReserved), maxReserved)
}

// MinCPUs returns the CPUs of a machine with a number of CPUs that a task takes at least in effect: its share of the list.
func MinCPUs(cpus float64) float64 { return cpus / float64(PlannedTasks) }
