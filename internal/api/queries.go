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

// jobState answers with a job's state: the final one if it is known, else what the team's scheduler says,
// else what is in the key-value store.
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

// storedState answers from the key-value store: a job whose active record existed at the time of the read
// was not final then, so nobody had been answered with a final state.
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

// lookUpStored reads a job from the key-value store: its final state, or its active record, or neither when
// there is no such job. The active record is read first: when it is gone because the job became final, the
// final state exists. An error wraps errStateUnreadable.
func (h *Handler) lookUpStored(ctx context.Context, id string) (final *jobs.Final, active *jobs.Record, err error) {
	var record jobs.Record
	found, err := h.readKey(ctx, kvstore.ActiveJobPrefix+id, &record)
	if err != nil {
		return nil, nil, err
	}
	if found {
		if end, ended := record.End(); ended {
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

// readKey reads and decodes the value of a key; found is false when the key is absent.
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
