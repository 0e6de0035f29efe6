package scheduler

import (
	"fmt"
	"strconv"
	"strings"
)

// ChunkTasks is how many tasks one record of progress covers, where a record may
// be as large as that takes.
const ChunkTasks = 32768

// chunkID names a record of progress: the tasks from N*Size on. Where records
// must be smaller they say so, and each is read by its own size.
type chunkID struct{ N, Size int }

func (c chunkID) String() string {
	if c.Size == ChunkTasks {
		return strconv.Itoa(c.N)
	}
	return fmt.Sprintf("%d.%d", c.N, c.Size)
}

func parseChunk(text string) (c chunkID, ok bool) {
	n, size, small := strings.Cut(text, ".")
	c.Size = ChunkTasks
	var err, err2 error
	c.N, err = strconv.Atoi(n)
	if small {
		c.Size, err2 = strconv.Atoi(size)
	}
	return c, err == nil && err2 == nil && c.N >= 0 && c.Size > 0 && c.Size%8 == 0
}

// chunkTasks is how many tasks a record of at most so many bytes covers.
func chunkTasks(most int) int {
	return min(ChunkTasks, max(1, (most-2)/4*3/8)*64)
}

// progress is a record of completed tasks, and the stamp of its last change.
type progress struct {
	bits        []byte
	modRevision uint64
}

// HandleProgressRecord takes a record of completed tasks, as the replica shows it or as it
// was written. Older words than the newest known change nothing.
func (s *Scheduler) HandleProgressRecord(id string, chunk chunkID, bits []byte, stamp uint64) {
	if s.progress[id] == nil {
		s.progress[id] = map[chunkID]progress{}
	}
	if stamp >= s.progress[id][chunk].modRevision {
		s.progress[id][chunk] = progress{bits, stamp}
	}
}

// DropProgress takes note that a record of completed tasks is gone.
func (s *Scheduler) DropProgress(id string, chunk chunkID) { delete(s.progress[id], chunk) }
