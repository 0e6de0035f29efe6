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

// submission returns the body of a submission of a job of limitedTeam. Each task takes a quarter of a machine's CPUs.
func submission(id string, tasks int) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":"red","shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":5,"snap_every_s":0,"snap_s":0}`, id, tasks)
}

// unlimitedSubmission returns the body of a submission like submission, but of unlimitedTeam.
func unlimitedSubmission(id string, tasks int) string {
	return strings.Replace(submission(id, tasks), `"red"`, `"blue"`, 1)
}

// wholeMachineSubmission returns the body of a submission of a job of unlimitedTeam. Each task takes all CPUs of a machine.
func wholeMachineSubmission(id string, tasks int) string {
	return strings.Replace(unlimitedSubmission(id, tasks), `"cpus":2`, `"cpus":8`, 1)
}

// jobName returns the ID of the i-th job that a test submits.
func jobName(i int) string { return fmt.Sprintf("job-%06d", i) }

// withdrawPath returns the path of the request that cancels a job.
func withdrawPath(id string) string { return wire.PathJobs + "/" + id + "/withdraw" }

// jobPhase queries a job at a controller and returns its phase. If the response has no phase, jobPhase returns the HTTP status
// instead, which is "0" if there is no response.
func (c *cluster) jobPhase(host, id string) string {
	r := c.get(host, wire.PathJobs+"/"+id)
	var s wire.JobState
	if r.Status != http.StatusOK || json.Unmarshal(r.Body, &s) != nil {
		return fmt.Sprint(r.Status)
	}
	return s.Phase
}

// isPhase reports whether a result of jobPhase is a phase and not a status, which has at most three digits.
func isPhase(answer string) bool { return len(answer) > 3 }

// isFinal reports whether a phase is final: once a user was told it, every later answer must give it.
func isFinal(phase string) bool { return phase == wire.Done || phase == wire.Cancelled }

// queryJob does what jobPhase does and checks the answer against all that users were told before: an accepted job must stay
// known, and a final phase must not change.
func (c *cluster) queryJob(host, id string) string {
	c.t.Helper()
	answer := c.jobPhase(host, id)
	switch {
	case answer == "404":
		require.False(c.t, c.accepted[id], "%s says that it doesn't know %s, which is accepted", host, id)
	case !isPhase(answer): // the controller can't answer now
	case c.finalAnswers[id] != "":
		require.Equal(c.t, c.finalAnswers[id], answer, "%s gives another phase of %s, which was reported as final", host, id)
	case isFinal(answer):
		c.finalAnswers[id] = answer
		c.accepted[id] = true
	default:
		c.accepted[id] = true
	}
	return answer
}

// requirePhaseEverywhere requires that every controller answers a query of a job with a phase.
func (c *cluster) requirePhaseEverywhere(phase, id string) {
	c.t.Helper()
	for _, h := range hosts {
		require.Equal(c.t, phase, c.queryJob(h, id), "%s at %s", id, h)
	}
}

// submitJob submits a job, for the first time or again, and returns the HTTP status. It checks the answer against all that users
// were told before.
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
		require.True(c.t, final == "" || final == s.Phase, "%s, submitted at %s: %s after %s", id, host, s.Phase, final)
		if isFinal(s.Phase) {
			c.finalAnswers[id] = s.Phase
		}
	}
	return r.Status
}

// cancelJob sends a user's cancellation of a job. It returns the final phase that the answer gives, or "" if it gives none.
func (c *cluster) cancelJob(host, id string) (phase string) {
	c.t.Helper()
	return c.recordCancelResponse(host, id, c.post(host, withdrawPath(id), ""))
}

// recordCancelResponse checks the answer to a cancellation against all that users were told before, and returns the final phase
// that it gives. From the first confirmation on, requireCancelledStopped checks the job's tasks.
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
