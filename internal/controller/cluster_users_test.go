package controller

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

// submission is the body of a job of limitedTeam, a quarter of a machine each task.
func submission(id string, tasks int) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":"red","shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":5,"snap_every_s":0,"snap_s":0}`, id, tasks)
}

// unlimitedSubmission is submission by the team without a limit.
func unlimitedSubmission(id string, tasks int) string {
	return strings.Replace(submission(id, tasks), `"red"`, `"blue"`, 1)
}

// wholeMachineSubmission is a job of the team without a limit, each of whose tasks takes a whole machine.
func wholeMachineSubmission(id string, tasks int) string {
	return strings.Replace(unlimitedSubmission(id, tasks), `"cpus":2`, `"cpus":8`, 1)
}

// jobName is the id of a user's i-th job.
func jobName(i int) string { return fmt.Sprintf("job-%06d", i) }

// withdrawPath is where a job is cancelled.
func withdrawPath(id string) string { return wire.PathJobs + "/" + id + "/withdraw" }

// jobPhase asks a controller for a job: its phase, or the status of an answer without one ("0" without any).
func (c *cluster) jobPhase(host, id string) string {
	r := c.get(host, wire.PathJobs+"/"+id)
	var s wire.JobState
	if r.Status != http.StatusOK || json.Unmarshal(r.Body, &s) != nil {
		return fmt.Sprint(r.Status)
	}
	return s.Phase
}

// isPhase is whether what jobPhase gave is a phase; a status has three digits at most.
func isPhase(answer string) bool { return len(answer) > 3 }

// isFinal is whether a phase never changes any more once a user was told it.
func isFinal(phase string) bool { return phase == wire.Done || phase == wire.Cancelled }

// queryJob is jobPhase, and holds the answer against all that users were told before: accepted, done and
// cancelled stay.
func (c *cluster) queryJob(host, id string) string {
	c.t.Helper()
	answer := c.jobPhase(host, id)
	switch {
	case answer == "404":
		require.False(c.t, c.accepted[id], "%s says that it doesn't know %s, which is accepted", host, id)
	case !isPhase(answer): // not answered for now
	case c.finalAnswers[id] != "":
		require.Equal(c.t, c.finalAnswers[id], answer, "%s of %s, which was reported as over", host, id)
	case isFinal(answer):
		c.finalAnswers[id] = answer
		c.accepted[id] = true
	default:
		c.accepted[id] = true
	}
	return answer
}

// submitJob submits a job, as its user does once more when there is no answer, and gives the status. The answer is held
// against all that users were told before.
func (c *cluster) submitJob(host, body, id string) (status int) {
	c.t.Helper()
	r := c.post(host, wire.PathJobs, body)
	rejected := r.Status == http.StatusBadRequest || r.Status == http.StatusUnprocessableEntity
	require.False(c.t, c.accepted[id] && rejected, "%s rejects %s, which is accepted: %d", host, id, r.Status)
	if r.Status == http.StatusOK || r.Status == http.StatusCreated {
		c.accepted[id] = true
		var s wire.JobState
		require.NoError(c.t, json.Unmarshal(r.Body, &s))
		final := c.finalAnswers[id]
		require.True(c.t, final == "" || final == s.Phase, "%s, a repeat at %s: %s after %s", id, host, s.Phase, final)
		if isFinal(s.Phase) {
			c.finalAnswers[id] = s.Phase
		}
	}
	return r.Status
}

// cancelJob cancels a job as its user does: the final phase that the answer gives, empty where it gives none.
func (c *cluster) cancelJob(host, id string) (phase string) {
	c.t.Helper()
	return c.recordCancelResponse(host, id, c.post(host, withdrawPath(id), ""))
}

// recordCancelResponse holds the answer to a cancellation against all that users were told before. From the first
// confirmation on requireCancelledStopped watches the job.
func (c *cluster) recordCancelResponse(host, id string, r httpx.Response) (phase string) {
	c.t.Helper()
	require.False(c.t, r.Status == http.StatusNotFound && c.accepted[id], "%s doesn't know %s, which is accepted", host, id)
	if r.Status != http.StatusOK {
		return ""
	}
	phase = wire.Done
	if strings.Contains(string(r.Body), wire.Cancelled) {
		phase = wire.Cancelled
	}
	final := c.finalAnswers[id]
	require.True(c.t, final == "" || final == phase, "%s: %s after %s", id, phase, final)
	c.finalAnswers[id] = phase
	if _, confirmed := c.cancelled[id]; phase == wire.Cancelled && !confirmed {
		c.cancelled[id] = confirmedCancellation{confirmedAt: time.Now(), starts: c.taskStarts(id)}
	}
	return phase
}
