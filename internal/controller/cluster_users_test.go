package controller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/wire"
)

func submission(id string, tasks int) string {
	return fmt.Sprintf(`{"id":%q,"jobclass":"x","owner":"red","shape":"array","rank":"normal","shards":%d,"cpus":2,"accelerators":0,
	"mem_gb":1,"bundle":"img","size_gb":1,"loaners":true,"guess_s":5,"snap_every_s":0,"snap_s":0}`, id, tasks)
}

// wholeMachineSubmission submits a job of the team without a limit, each of whose tasks takes a whole machine.
func wholeMachineSubmission(id string, tasks int) string {
	return strings.NewReplacer(`"red"`, `"blue"`, `"cpus":2`, `"cpus":8`).Replace(submission(id, tasks))
}

// jobName is the id of a user's i-th job.
func jobName(i int) string { return fmt.Sprintf("job-%06d", i) }

func (c *cluster) jobPhase(host, id string) string {
	r := c.request(host, "GET", wire.PathJobs+"/"+id, "")
	var s wire.JobState
	if r.Status != 200 || json.Unmarshal(r.Body, &s) != nil {
		return fmt.Sprint(r.Status)
	}
	return s.Phase
}

// queryJob asks a controller for a job and holds the answer against all that users were
// told before: accepted, done and cancelled stay.
func (c *cluster) queryJob(host, id string) string {
	p := c.jobPhase(host, id)
	switch {
	case p == "404":
		require.False(c.t, c.accepted[id], "%s says that it doesn't know %s, which is accepted", host, id)
	case len(p) <= 3: // not answered for now
	case c.finalAnswers[id] != "":
		require.Equal(c.t, c.finalAnswers[id], p, "%s of %s, which was told as over", host, id)
	case p == wire.Done || p == wire.Cancelled:
		c.finalAnswers[id] = p
		c.accepted[id] = true
	default:
		c.accepted[id] = true
	}
	return p
}

// submitJob submits a job, as its user does once more when there is no answer.
func (c *cluster) submitJob(host, body, id string) (status int) {
	r := c.request(host, "POST", wire.PathJobs, body)
	require.False(c.t, c.accepted[id] && (r.Status == 400 || r.Status == 422), "%s refuses %s, which is accepted: %d", host, id, r.Status)
	if r.Status == 200 || r.Status == 201 {
		c.accepted[id] = true
		var s wire.JobState
		require.NoError(c.t, json.Unmarshal(r.Body, &s))
		require.True(c.t, c.finalAnswers[id] == "" || c.finalAnswers[id] == s.Phase, "%s, a repeat at %s: %s after %s", id, host, s.Phase, c.finalAnswers[id])
		if s.Phase == wire.Done || s.Phase == wire.Cancelled {
			c.finalAnswers[id] = s.Phase
		}
	}
	return r.Status
}

// cancelJob withdraws a job as its user does, and takes note of the answer.
func (c *cluster) cancelJob(host, id string) (phase string) {
	return c.recordCancelResponse(host, id, c.request(host, "POST", wire.PathJobs+"/"+id+"/withdraw", ""))
}

func (c *cluster) recordCancelResponse(host, id string, r httpx.Response) (phase string) {
	require.False(c.t, r.Status == 404 && c.accepted[id], "%s doesn't know %s, which is accepted", host, id)
	if r.Status != 200 {
		return ""
	}
	phase = wire.Done
	if strings.Contains(string(r.Body), wire.Cancelled) {
		phase = wire.Cancelled
	}
	require.True(c.t, c.finalAnswers[id] == "" || c.finalAnswers[id] == phase, "%s: %s after %s", id, phase, c.finalAnswers[id])
	c.finalAnswers[id] = phase
	if _, told := c.cancelled[id]; phase == wire.Cancelled && !told {
		c.cancelled[id] = confirmedCancellation{confirmedAt: time.Now(), starts: c.taskStarts(id)}
	}
	return phase
}
