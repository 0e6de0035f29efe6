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

// maxWatermarkedTasks is up to how many tasks a job is watermarked as a whole with its acceptance: of many
// small jobs each separate watermark would cost as much as that of a large one.
const maxWatermarkedTasks = 4

// storeRefusalBackoff is for how long no submission is tried after the key-value store has refused one: in
// an outage users repeat their submissions, and each try costs a part of the request budget that those who
// come after the outage need.
const storeRefusalBackoff = 250 * time.Millisecond

// jobPhase is the body of the answer to an accepted submission and to a cancellation.
type jobPhase struct {
	ID    string `json:"id"`
	Phase string `json:"phase"`
}

// submit accepts a job, or has another controller do so when this one alone can't reach the key-value
// store: its users need not go elsewhere.
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

// AcceptJob accepts a job at this controller, or answers with the state of one that is known already. A job
// is accepted only once its record is durable.
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

// newRecord makes the record of a job that is accepted now. Where its tasks should start within a time a
// separate watermark would only be one more write to wait for.
func (h *Handler) newRecord(job wire.Job) jobs.Record {
	_, startsWithin := h.startWithin[job.Class]
	return jobs.Record{
		Job:         job,
		AcceptedMS:  h.wallClock().UnixMilli(),
		Watermarked: startsWithin || job.Tasks <= maxWatermarkedTasks,
	}
}

// checkAcceptable returns the rejection of a job that can't be accepted, or not now.
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
	if h.storeRefusing() {
		return errNotStored
	}
	return nil
}

// checkRecordSize rejects a job whose record the key-value store would not take.
func (h *Handler) checkRecordSize(record jobs.Record) error {
	if encoded, err := json.Marshal(record); err != nil || len(encoded) > h.maxRecordBytes {
		return errRecordTooLarge
	}
	return nil
}

// checkRunnable rejects a job of which no task can ever run, by its team's limit or by the machine types.
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

// exceeds reports that an amount is over a limit, where 0 means that there is none.
func exceeds(amount, limit int64) bool { return limit > 0 && amount > limit }

// canRunOn reports whether a task of the job fits an empty machine of a type that the job allows, in a
// zone that it allows.
func canRunOn(j *jobs.Job, t *wire.MachineType) bool {
	allowsType := len(j.Types) == 0 || slices.Contains(j.Types, t.Name)
	allowsZone := j.Zone == "" || slices.Contains(t.Zones, j.Zone)
	return allowsType && allowsZone && j.Need.Fits(resources.Capacity(t.CPUs, t.GPUs, t.MemGB))
}

// storeJob creates the job's record, unless the job is known in the key-value store already, active or final.
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
		h.noteStoreRefusal()
	}
	h.log.Debug("submission store failed", "job", record.ID, "error", err)
	return reject(errNotStored)
}

// storeRefusing reports that the key-value store has refused a submission a moment ago.
func (h *Handler) storeRefusing() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.wallClock().Before(h.storeRetryAt)
}

// noteStoreRefusal starts the backoff after a refusal by the key-value store.
func (h *Handler) noteStoreRefusal() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.storeRetryAt = h.wallClock().Add(storeRefusalBackoff)
}
