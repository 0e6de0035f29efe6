package wire

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// Whatever is sent, a job that is accepted keeps to the protocol's bounds and
// survives being stored.
func FuzzParseJob(f *testing.F) {
	f.Add([]byte(`{"id":"job-1","jobclass":"c","owner":"t","shape":"array","rank":"idle","shards":1,"cpus":1,"mem_gb":1,"bundle":"i","size_gb":1,"guess_s":1}`))
	f.Add([]byte(`{"id":"job-1","shards":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, b []byte) {
		j, err := ParseJob(b)
		if err != nil {
			return
		}
		require.True(t, ValidJobID(j.ID))
		require.True(t, j.Tasks >= 1 && j.Tasks <= MaxTasks)
		require.True(t, j.CPUs >= 0 && j.MemGB >= 0 && j.GPUs >= 0)
		stored, err := json.Marshal(j)
		require.NoError(t, err)
		var again Job
		require.NoError(t, json.Unmarshal(stored, &again))
		require.Equal(t, j.ID, again.ID)
	})
}

func TestTaskNames(t *testing.T) {
	job, n, ok := SplitTask(TaskName("job-7", 99999))
	require.True(t, ok)
	require.Equal(t, "job-7", job)
	require.Equal(t, 99999, n)
	for _, bad := range []string{"", "/", "job-7/", "/3", "job-7/x", "job-7/-1", "job-7/123456789"} {
		_, _, ok := SplitTask(bad)
		require.False(t, ok, bad)
	}
}
