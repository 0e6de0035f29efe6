package api

import (
	"context"
	"encoding/json"
	"fmt"

	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// jobState returns a job's state: the final state if the cache has it; for a job that the cache has as active, the
// state that the team's scheduler gives, or 503 while the scheduler writes a final state; otherwise, or if the
// scheduler gives no state, the one in the key-value store.
func (h *Handler) jobState(ctx context.Context, id string) httpx.Response {
	if final, ok := h.jobs.Final(id); ok {
		return httpx.JSON(200, final.State(id))
	}
	if j, ok := h.jobs.Active(id); ok {
		status, err := h.schedulers.Status(ctx, peer.JobRequest{Team: j.Team, ID: id})
		if err == nil && status.Known && status.Found {
			if status.Retry {
				return reject(errFinalStatePending)
			}
			return httpx.JSON(200, status.State)
		}
	}
	return h.storedState(ctx, id)
}

// storedState returns a job's state from the key-value store. If the job's active record exists and has no final
// state, the job was not final at the time of the read, and no user has been told a final state by then. The answer
// is then "pending", since the store does not tell which tasks run, even if a scheduler has answered "running" before.
func (h *Handler) storedState(ctx context.Context, id string) httpx.Response {
	final, active, err := h.lookUpStored(ctx, id)
	switch {
	case err != nil:
		return reject(err)
	case final != nil:
		return httpx.JSON(200, final.State(id))
	case active != nil:
		return httpx.JSON(200, wire.JobState{ID: id, Phase: wire.Pending})
	}
	return reject(errUnknownJob)
}

// lookUpStored reads a job from the key-value store. It returns the job's final state or its active record, or
// neither if the job does not exist. An active record may itself contain the final state. The active record is read
// first: if that was removed because the job became final, the final state exists already, so a job is never missed
// between the two reads. Errors wrap errStateUnreadable.
func (h *Handler) lookUpStored(ctx context.Context, id string) (final *jobs.Final, active *jobs.Record, err error) {
	var record jobs.Record
	found, err := h.readKey(ctx, kvstore.ActiveJobPrefix+id, &record)
	if err != nil {
		return nil, nil, err
	}
	if found {
		if end, ended := record.FinalState(); ended {
			h.jobs.AddFinal(id, end)
			return &end, nil, nil
		}
		return nil, &record, nil
	}
	var end jobs.Final
	found, err = h.readKey(ctx, kvstore.FinalJobPrefix+id, &end)
	if err != nil || !found {
		return nil, nil, err
	}
	h.jobs.AddFinal(id, end)
	return &end, nil, nil
}

// readKey reads a key and decodes its value into value; found is false if the key is absent.
func (h *Handler) readKey(ctx context.Context, key string, value any) (found bool, err error) {
	item, found, err := h.store.Get(ctx, key)
	if err != nil {
		return false, fmt.Errorf("%w: reading %s: %w", errStateUnreadable, key, err)
	}
	if !found {
		return false, nil
	}
	if err := json.Unmarshal(item.Value, value); err != nil {
		return false, fmt.Errorf("%w: decoding %s: %w", errStateUnreadable, key, err)
	}
	return true, nil
}
