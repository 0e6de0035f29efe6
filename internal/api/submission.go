package api

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// maxWatermarkedTasks is the maximum number of tasks of a job whose record is written as watermarked. A watermark
// in the key-value store covers the tasks of a job that may have been assigned, and it is written before they
// are assigned. A separate watermark for a small job would cost as much as one for a large job.
const maxWatermarkedTasks = 4

// storeRefusalBackoff is how long no submission is written after the key-value store has refused one. A refusal because
// this controller's request budget is spent does not count. Users repeat
// their submissions during an outage, and every attempt to write one would use up a part of the request budget
// that is needed right after the outage.
const storeRefusalBackoff = 250 * time.Millisecond

// jobPhase is the body of the response to an accepted submission and to a cancellation.
type jobPhase struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
}

// submit accepts a job, or forwards it to another controller if this one has no contact with the key-value store or
// would answer 503, so that users need not find another controller themselves. Without contact it first forwards the
// job, and tries to accept it itself only if no other controller answers or the one that does answers 503.
func (h *Handler) submit(ctx context.Context, body []byte) (r httpx.Response) {
	began := h.wallClock()
	defer func() {
		h.log.Debug("submission answered", "status", r.Status, "duration_ms", h.wallClock().Sub(began).Milliseconds())
	}()
	if h.peers.StoreUnreachable() {
		if forwarded, ok := h.peers.Submit(body); ok && forwarded.Status != statusUnavailable {
			return forwarded
		}
		return h.AcceptJob(ctx, body)
	}
	if r = h.AcceptJob(ctx, body); r.Status == statusUnavailable {
		if forwarded, ok := h.peers.Submit(body); ok {
			return forwarded
		}
	}
	return r
}

// AcceptJob accepts a job at this controller, or returns the state of the job if it exists already. A job is
// accepted only once its record is durable.
func (h *Handler) AcceptJob(ctx context.Context, body []byte) httpx.Response {
	job, err := wire.ParseJob(body)
	if err != nil {
		return reject(badRequest(err))
	}
	if final, ok := h.jobs.Final(job.ID); ok {
		return httpx.JSON(200, final.State(job.ID))
	}
	if _, ok := h.jobs.Active(job.ID); ok {
		return h.jobState(ctx, job.ID)
	}
	record := h.newRecord(job)
	if err := h.checkAcceptable(record); err != nil {
		return reject(err)
	}
	return h.storeJob(ctx, record)
}

// newRecord returns the record of a job that is accepted now. A job whose tasks should start within a time is
// written as watermarked whatever its size, since waiting for a separate watermark would delay their start.
func (h *Handler) newRecord(job wire.Job) jobs.Record {
	_, startsWithin := h.startWithin[job.Class]
	return jobs.Record{
		Job:         job,
		AcceptedMS:  h.wallClock().UnixMilli(),
		Watermarked: startsWithin || job.Tasks <= maxWatermarkedTasks,
	}
}

// checkAcceptable returns the rejection of a job that can't be accepted now or at all, and nil for any other job.
func (h *Handler) checkAcceptable(record jobs.Record) error {
	if !h.KnowsMachineTypes() {
		return errMachineTypesUnknown
	}
	if err := h.checkRecordSize(record); err != nil {
		return err
	}
	if err := h.checkRunnable(jobs.New(record, 0)); err != nil {
		return err
	}
	if h.inStoreBackoff() {
		return errNotStored
	}
	return nil
}

// checkRecordSize rejects a job whose record is too large for a value in the key-value store.
func (h *Handler) checkRecordSize(record jobs.Record) error {
	if encoded, err := json.Marshal(record); err != nil || len(encoded) > h.maxRecordBytes {
		return errRecordTooLarge
	}
	return nil
}

// checkRunnable rejects a job whose tasks can never run, because its team is unknown, or because they exceed the team's
// limit of CPUs or GPUs or fit no allowed machine type.
func (h *Handler) checkRunnable(j *jobs.Job) error {
	limit, ok := h.limits[j.Team]
	if !ok {
		return errUnknownTeam
	}
	if exceeds(j.Need.CPU, limit.CPU) || exceeds(j.Need.GPU, limit.GPU) {
		return errOverTeamLimit
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if !slices.ContainsFunc(h.machineTypes, func(t wire.MachineType) bool { return canRunOn(j, &t) }) {
		return errFitsNoMachine
	}
	return nil
}

// exceeds reports whether an amount is above a limit. A limit of 0 means that there is none.
func exceeds(amount, limit int64) bool { return limit > 0 && amount > limit }

// canRunOn reports whether a task of the job fits on an empty machine of type t, and the job allows the type and
// at least one zone in which it is offered.
func canRunOn(j *jobs.Job, t *wire.MachineType) bool {
	allowsType := len(j.Types) == 0 || slices.Contains(j.Types, t.Name)
	allowsZone := j.Zone == "" || slices.Contains(t.Zones, j.Zone)
	return allowsType && allowsZone && j.Need.Fits(resources.Capacity(t.CPUs, t.GPUs, t.MemGB))
}

// storeJob writes the job's record, unless the key-value store already has the job as active or final; in that
// case it returns the job's state.
func (h *Handler) storeJob(ctx context.Context, record jobs.Record) httpx.Response {
	activeKey, finalKey := kvstore.ActiveJobPrefix+record.ID, kvstore.FinalJobPrefix+record.ID
	_, err := h.store.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: activeKey}, {Key: finalKey}}, // mod revision 0: the key is absent
		Operations: []wire.Operation{{Put: activeKey, Value: record}},
	})
	switch {
	case err == nil:
		return httpx.JSON(201, jobPhase{ID: record.ID, Phase: wire.Pending})
	case errors.Is(err, kvstore.ErrConflict):
		return h.jobState(ctx, record.ID)
	case errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrBudgetExhausted):
		h.startStoreBackoff()
	}
	h.log.Debug("submission store failed", "job", record.ID, "error", err)
	return reject(errNotStored)
}

// inStoreBackoff reports whether the key-value store refused a submission less than storeRefusalBackoff ago.
func (h *Handler) inStoreBackoff() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wallClock().Before(h.storeRetryAt)
}

// startStoreBackoff stops writes of submissions for storeRefusalBackoff, after the key-value store refused one.
func (h *Handler) startStoreBackoff() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeRetryAt = h.wallClock().Add(storeRefusalBackoff)
}
