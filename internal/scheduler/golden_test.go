package scheduler

import (
	"encoding/base64"
	"log/slog"
	"os"
	"strings"
	"testing"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// goldenLines returns the lines of a golden file.
func goldenLines(t *testing.T, name string) []string {
	t.Helper()
	b, err := os.ReadFile("testdata/" + name)
	require.NoError(t, err)
	return strings.Split(strings.TrimSuffix(string(b), "\n"), "\n")
}

// Guards against records that a team's next leader, possibly of another release, does not find: it looks progress and watermark
// records up by their keys, so the form of the keys must not change.
func TestRecordKeysKeepTheirForm(t *testing.T) {
	require.Equal(t, goldenLines(t, "golden_keys.txt"), []string{
		progressKey("job-1", chunkID{0, MaxTasksPerChunk}),
		progressKey("job-1", chunkID{12, MaxTasksPerChunk}),
		progressKey("job-1", chunkID{3, 4096}),
		watermarkPrefix("red"),
		watermarkPrefix("team/ü 1"),
		(&Scheduler{}).watermarkWrites(&team{Team: Team{Name: "red"}}, map[string]int{"job-1": 1}, 1000)[0].Key,
	})
	for _, c := range []chunkID{{0, MaxTasksPerChunk}, {12, MaxTasksPerChunk}, {3, 4096}} {
		_, text, _ := strings.Cut(strings.TrimPrefix(progressKey("job-1", c), kvstore.ProgressPrefix), "/")
		got, ok := parseChunkID(text)
		require.True(t, ok)
		require.Equal(t, c, got)
	}
	for maxBytes, tasks := range map[int]int{100: 576, 4096: 24512, 1 << 20: MaxTasksPerChunk} {
		require.Equal(t, tasks, tasksPerChunk(maxBytes), "tasks of a record of at most %d bytes", maxBytes)
	}
}

// Guards against progress and watermark records that another release can't decode. A progress record has one bit for each of its
// tasks, in base64; a watermark record has the watermarks by job id.
func TestRecordsKeepEncodedForm(t *testing.T) {
	lines := goldenLines(t, "golden_records.txt")
	require.Len(t, lines, 2)
	j := &job{Job: &jobs.Job{}, tasksPerChunk: 64, done: []uint64{0x1000000000ff8001}}
	j.Tasks = 64
	bits := j.progressBits(0)
	encodedProgress, err := json.Marshal(base64.StdEncoding.EncodeToString(bits))
	require.NoError(t, err)
	require.Equal(t, lines[0], string(encodedProgress))
	writes := (&Scheduler{}).watermarkWrites(&team{Team: Team{Name: "red"}}, map[string]int{"job-1": 256, "job-2": 40}, 1000)
	require.Len(t, writes, 1)
	encodedWatermarks, err := json.Marshal(writes[0].Watermarks)
	require.NoError(t, err)
	require.Equal(t, lines[1], string(encodedWatermarks))

	// The records are applied through a server as well.
	scheduler := NewScheduler(Config{ProcessID: "i", Teams: []Team{{Name: "red"}}, Seed: 1, WallClockMS: func() int64 { return 0 }})
	server := NewServer(scheduler, Options{Jobs: jobs.NewCache(), Clock: clock.NewMonotonic(), Log: slog.New(slog.DiscardHandler)})
	server.Apply([]kvstore.Event{
		{Key: "ml/p/job-1/3.64", Value: []byte(lines[0]), ModRevision: 5},
		{Key: "ml/w/red/0", Value: []byte(lines[1]), ModRevision: 6},
	})
	require.Equal(t, map[chunkID]progressRecord{{3, 64}: {bits, 5}}, scheduler.progress["job-1"])
	require.Equal(t, watermarkRecord{6, map[string]int{"job-1": 256, "job-2": 40}}, scheduler.watermarks["ml/w/red/0"])
}
