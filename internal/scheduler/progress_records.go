package scheduler

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxTasksPerChunk is how many tasks one progress record covers, unless the maximum size of a record requires fewer.
const MaxTasksPerChunk = 32768

// chunkID identifies a progress record of a job, which covers the Size tasks from number N*Size on. The record's key names the
// size if it is not MaxTasksPerChunk, so that a record can be read whatever maximum size applied when it was written.
type chunkID struct{ N, Size int }

func (c chunkID) String() string {
	if c.Size == MaxTasksPerChunk {
		return strconv.Itoa(c.N)
	}
	return fmt.Sprintf("%d.%d", c.N, c.Size)
}

// parseChunkID is the inverse of chunkID.String. ok is false when text is not valid.
func parseChunkID(text string) (c chunkID, ok bool) {
	number, size, hasSize := strings.Cut(text, ".")
	c.Size = MaxTasksPerChunk
	var numberErr, sizeErr error
	c.N, numberErr = strconv.Atoi(number)
	if hasSize {
		c.Size, sizeErr = strconv.Atoi(size)
	}
	return c, numberErr == nil && sizeErr == nil && c.N >= 0 && c.Size > 0 && c.Size%8 == 0
}

// tasksPerChunk returns how many tasks a progress record of at most maxBytes bytes covers, a multiple of 64. The record has one bit
// for each task, in base64 between two quotes.
func tasksPerChunk(maxBytes int) int {
	return min(MaxTasksPerChunk, max(1, (maxBytes-2)/4*3/8)*64)
}

// progressRecord is the newest known version of a progress record.
type progressRecord struct {
	bits        []byte // one for each task, set if the task is done
	modRevision uint64
}

// HandleProgressRecord applies a progress record that the replica shows or that this scheduler has written. A record that is
// older than the newest known version changes nothing.
func (s *Scheduler) HandleProgressRecord(id string, chunk chunkID, bits []byte, modRevision uint64) {
	if s.progress[id] == nil {
		s.progress[id] = map[chunkID]progressRecord{}
	}
	if modRevision >= s.progress[id][chunk].modRevision {
		s.progress[id][chunk] = progressRecord{bits, modRevision}
	}
}

// DropProgress records that a progress record has been deleted.
func (s *Scheduler) DropProgress(id string, chunk chunkID) { delete(s.progress[id], chunk) }
