package wire

import (
	"encoding/json"
	"testing"

	"github.com/stretchr/testify/require"
)

// FuzzParseJob checks that a job that ParseJob accepts is within the protocol's bounds and can be encoded and
// decoded again, whatever the body is. A job that can't would be accepted and then fail in the schedulers.
func FuzzParseJob(f *testing.F) {
	f.Add([]byte(`{"id":"job-1","jobclass":"c","owner":"t","shape":"array","rank":"idle",` +
		`"shards":1,"cpus":1,"mem_gb":1,"bundle":"i","size_gb":1,"guess_s":1}`))
	f.Add([]byte(`{"id":"job-1","shards":-1}`))
	f.Add([]byte(`null`))
	f.Fuzz(func(t *testing.T, body []byte) {
		job, err := ParseJob(body)
		if err != nil {
			return
		}
		require.True(t, ValidJobID(job.ID))
		require.True(t, job.Tasks >= 1 && job.Tasks <= MaxTasks)
		require.True(t, job.CPUs >= 0 && job.MemGB >= 0 && job.GPUs >= 0)
		stored, err := json.Marshal(job)
		require.NoError(t, err)
		var again Job
		require.NoError(t, json.Unmarshal(stored, &again))
		require.Equal(t, job.ID, again.ID)
	})
}

// When several fields are missing, the error must name the first one. If it named any of them, the answer to the
// same submission could differ from one request to the next.
func TestSubmissionWithoutSeveralFieldsNamesTheFirst(t *testing.T) {
	for range 20 {
		_, err := ParseJob([]byte(`{"id":"job-1","jobclass":"c","rank":"idle"}`))
		require.EqualError(t, err, "field owner is missing")
	}
}
