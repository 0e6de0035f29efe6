package scheduler

import (
	"fmt"
	"strconv"
	"strings"
)

// ChunkTasks is how many tasks one record of progress covers, where a record may be as large as that takes.
const ChunkTasks = 32768

// chunkID names a record of progress: the tasks from N*Size on. Where records must be smaller their keys say so, and each is
// read by its own size.
type chunkID struct{ N, Size int }

func (c chunkID) String() string {
	if c.Size == ChunkTasks {
		return strconv.Itoa(c.N)
	}
	return fmt.Sprintf("%d.%d", c.N, c.Size)
}

// parseChunk reads what String gives.
func parseChunk(text string) (c chunkID, ok bool) {
	number, size, hasSize := strings.Cut(text, ".")
	c.Size = ChunkTasks
	var numberErr, sizeErr error
	c.N, numberErr = strconv.Atoi(number)
	if hasSize {
		c.Size, sizeErr = strconv.Atoi(size)
	}
	return c, numberErr == nil && sizeErr == nil && c.N >= 0 && c.Size > 0 && c.Size%8 == 0
}

// chunkTasks is how many tasks a record of at most maxBytes covers: a multiple of 64, in base64 between two quotes.
func chunkTasks(maxBytes int) int {
	return min(ChunkTasks, max(1, (maxBytes-2)/4*3/8)*64)
}

// progress is a record of completed tasks as last known.
type progress struct {
	bits        []byte
	modRevision uint64
}

// HandleProgressRecord takes a record of completed tasks, as the replica shows it or as it was written. What is older than the
// newest known changes nothing.
func (s *Scheduler) HandleProgressRecord(id string, chunk chunkID, bits []byte, modRevision uint64) {
	if s.progress[id] == nil {
		s.progress[id] = map[chunkID]progress{}
	}
	if modRevision >= s.progress[id][chunk].modRevision {
		s.progress[id][chunk] = progress{bits, modRevision}
	}
}

// DropProgress takes note that a record of completed tasks is gone.
func (s *Scheduler) DropProgress(id string, chunk chunkID) { delete(s.progress[id], chunk) }
