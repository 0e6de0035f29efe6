package api

import (
	"context"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/peer"
)

// cancelJob asks the team's scheduler to cancel a job. A job that is already final stays as it is, and the
// response has its phase. Until the cancellation is durable the response is 503. A scheduler that has begun the
// cancellation completes it even if the user does not ask again.
func (h *Handler) cancelJob(ctx context.Context, id string) httpx.Response {
	if final, ok := h.jobs.Final(id); ok {
		return httpx.JSON(200, jobPhase{ID: id, Phase: final.Phase})
	}
	final, team, err := h.cancellationTarget(ctx, id)
	if err != nil {
		return reject(err)
	}
	if final != nil {
		return httpx.JSON(200, jobPhase{ID: id, Phase: final.Phase})
	}
	cancelled, err := h.schedulers.Cancel(ctx, peer.JobRequest{Team: team, ID: id})
	if err != nil || !cancelled.Known || !cancelled.Found || cancelled.Retry {
		return reject(errNotCancelledYet)
	}
	return httpx.JSON(200, jobPhase{ID: id, Phase: cancelled.State.Phase})
}

// cancellationTarget returns the team of an active job, or the final state of a job that is final in the
// key-value store. The error is, or wraps, a rejection.
func (h *Handler) cancellationTarget(ctx context.Context, id string) (final *jobs.Final, team string, err error) {
	if j, ok := h.jobs.Active(id); ok {
		return nil, j.Team, nil
	}
	final, active, err := h.lookUpStored(ctx, id)
	switch {
	case err != nil:
		return nil, "", err
	case final != nil:
		return final, "", nil
	case active != nil:
		return nil, active.Team, nil
	}
	return nil, "", errUnknownJob
}
