// Package front answers users. Any controller accepts a job by a create-if-absent
// write; whatever is not final is asked of the team's placer.
package api

import (
	"context"
	"encoding/json"
	"errors"
	"log/slog"
	"strings"
	"sync"
	"time"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

// Store is the part of the state service that the front needs.
type Store interface {
	Get(ctx context.Context, key string) (wire.Item, bool, error)
	Commit(ctx context.Context, m wire.Txn) (uint64, error)
}

// Schedulers finds who places a team's jobs, and asks.
type Schedulers interface {
	Status(ctx context.Context, q peer.JobRequest) (peer.JobResponse, error)
	Cancel(ctx context.Context, q peer.JobRequest) (peer.JobResponse, error)
}

// Peers are the other controllers, for submissions that this one can't store.
type Peers interface {
	// Away tells that this controller has no contact with the state service now.
	StoreUnreachable() bool
	// Submit hands a submission to a controller that has; ok is false when none is known.
	Submit(body []byte) (r httpx.Response, ok bool)
}

// Handler answers users.
type Handler struct {
	store   Store
	schedulers Schedulers
	peers  Peers
	jobs    *jobs.Cache
	limits  map[string]resources.Amounts
	startWithin   map[string]clock.Micros // classes whose tasks should start within so long
	maxRecordBytes    int                     // bytes of a record
	wallClock    func() time.Time
	log     *slog.Logger

	mu    sync.Mutex
	machineTypes []wire.MachineType
	storeRetryAt   time.Time // until then the state service is taken to be out
}

// Options of a handler.
type Options struct {
	Store          Store
	Schedulers     Schedulers
	Peers          Peers
	Jobs           *jobs.Cache
	Limits         map[string]resources.Amounts // by team, an amount of 0 meaning none
	StartWithin    map[string]clock.Micros      // classes whose tasks should start within a time
	MaxRecordBytes int
	WallClock      func() time.Time
	Log            *slog.Logger
}

// New makes a handler, which accepts no job before it knows the machine types.
func New(o Options) *Handler {
	return &Handler{store: o.Store, schedulers: o.Schedulers, peers: o.Peers, jobs: o.Jobs, limits: o.Limits,
		startWithin: o.StartWithin, maxRecordBytes: o.MaxRecordBytes, wallClock: o.WallClock, log: o.Log}
}

// SetTypes tells the machine types.
func (f *Handler) SetTypes(types []wire.MachineType) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.machineTypes = types
}

// KnowsMachineTypes tells whether the machine types are known.
func (f *Handler) KnowsMachineTypes() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return len(f.machineTypes) > 0
}

func reject(status int, text string) httpx.Response {
	r := httpx.JSON(status, wire.Error{Error: text})
	if status == 503 {
		r.RetryAfter = 1
	}
	return r
}

// Handle answers a request below /api/jobs; rest is the path after that.
func (f *Handler) Handle(ctx context.Context, r *httpx.Request, rest string) httpx.Response {
	if rest == "" {
		if r.Method != "POST" {
			return reject(405, "method not allowed")
		}
		return f.submit(ctx, r.Body)
	}
	id, verb, sub := strings.Cut(strings.TrimPrefix(rest, "/"), "/")
	switch {
	case !sub && r.Method == "GET":
		if !wire.ValidJobID(id) {
			return reject(404, "no such job")
		}
		return f.jobState(ctx, id)
	case sub && verb == "withdraw" && r.Method == "POST":
		if !wire.ValidJobID(id) {
			return reject(404, "no such job")
		}
		return f.cancelJob(ctx, id)
	case !sub || verb == "withdraw":
		return reject(405, "method not allowed")
	}
	return reject(404, "no such path")
}

// neverRunnable tells why a job can never run; "" when it can.
func (f *Handler) neverRunnable(j *jobs.Job) string {
	limit, ok := f.limits[j.Team]
	if !ok {
		return "unknown team"
	}
	if limit.CPU > 0 && j.Need.CPU > limit.CPU || limit.GPU > 0 && j.Need.GPU > limit.GPU {
		return "a task needs more than the team's limit"
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, t := range f.machineTypes {
		if !j.Need.Fits(resources.Capacity(t.CPUs, t.GPUs, t.MemGB)) {
			continue
		}
		allowed := len(j.Types) == 0
		for _, name := range j.Types {
			allowed = allowed || name == t.Name
		}
		inZone := j.Zone == ""
		for _, z := range t.Zones {
			inZone = inZone || z == j.Zone
		}
		if allowed && inZone {
			return ""
		}
	}
	return "a task fits no allowed machine type"
}

// maxWatermarkedTasks is up to how many tasks a job is marked as a whole with its acceptance.
const maxWatermarkedTasks = 4

// submit accepts a job, or has another controller do so when this one alone
// can't reach the state service: its users need not be sent away.
func (f *Handler) submit(ctx context.Context, body []byte) (r httpx.Response) {
	began := f.wallClock()
	defer func() { f.log.Debug("answered a submission", "status", r.Status, "after", f.wallClock().Sub(began)) }()
	if f.peers.StoreUnreachable() {
		if o, ok := f.peers.Submit(body); ok && o.Status != 503 {
			return o
		}
		return f.AcceptJob(ctx, body)
	}
	if r = f.AcceptJob(ctx, body); r.Status == 503 {
		if o, ok := f.peers.Submit(body); ok {
			return o
		}
	}
	return r
}

// AcceptJob accepts a job here. It is accepted only once its record is durable.
func (f *Handler) AcceptJob(ctx context.Context, body []byte) httpx.Response {
	spec, err := wire.ParseJob(body)
	if err != nil {
		return reject(400, err.Error())
	}
	if s, ok := f.jobs.Final(spec.ID); ok {
		return httpx.JSON(200, s.State(spec.ID))
	}
	if _, ok := f.jobs.Active(spec.ID); ok {
		return f.jobState(ctx, spec.ID)
	}
	if !f.KnowsMachineTypes() {
		return reject(503, "the machine types are not known yet")
	}
	rec := jobs.Record{Job: spec, AcceptedMS: f.wallClock().UnixMilli()}
	// Some begin at once: a watermark would only be one more write to wait for. And of a
	// swarm of small jobs each would cost as much as a large one.
	_, hasty := f.startWithin[spec.Class]
	rec.Watermarked = hasty || spec.Tasks <= maxWatermarkedTasks
	if b, err := json.Marshal(rec); err != nil || len(b) > f.maxRecordBytes {
		return reject(400, "the job takes more than a record can hold")
	}
	if why := f.neverRunnable(jobs.New(rec, 0)); why != "" {
		return reject(422, why)
	}
	if f.storeRefusing() {
		return reject(503, "the job can't be stored now")
	}
	_, err = f.store.Commit(ctx, wire.Txn{
		Conditions: []wire.Condition{{Key: kvstore.ActiveJobPrefix + spec.ID}, {Key: kvstore.FinalJobPrefix + spec.ID}},
		Operations: []wire.Operation{{Put: kvstore.ActiveJobPrefix + spec.ID, Value: rec}}})
	switch {
	case err == nil:
		return httpx.JSON(201, map[string]string{"id": spec.ID, "phase": wire.Pending})
	case errors.Is(err, kvstore.ErrConflict):
		return f.jobState(ctx, spec.ID) // known already
	}
	if errors.Is(err, kvstore.ErrRefused) && !errors.Is(err, kvstore.ErrBudgetExhausted) {
		f.noteStoreRefusal()
	}
	f.log.Debug("accepting a job", "job", spec.ID, "err", err)
	return reject(503, "the job can't be stored now")
}

// storeRefusalBackoff is how long nothing is tried after the state service has refused a job:
// in an outage users come again and again, and each try costs a part of the
// budget that those who come when it is over need.
const storeRefusalBackoff = 250 * time.Millisecond

func (f *Handler) storeRefusing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.wallClock().Before(f.storeRetryAt)
}

func (f *Handler) noteStoreRefusal() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.storeRetryAt = f.wallClock().Add(storeRefusalBackoff)
}

// jobState tells a job's state.
func (f *Handler) jobState(ctx context.Context, id string) httpx.Response {
	if s, ok := f.jobs.Final(id); ok {
		return httpx.JSON(200, s.State(id))
	}
	if j, ok := f.jobs.Active(id); ok {
		a, err := f.schedulers.Status(ctx, peer.JobRequest{Team: j.Team, ID: id})
		if err == nil && a.Known && a.Found {
			if a.Retry {
				return reject(503, "the job's end is being written")
			}
			return httpx.JSON(200, a.State)
		}
	}
	return f.storedState(ctx, id)
}

// lookUpStored reads a job's record from the state service: its final state, or its
// active record. The active one is read first: when it is gone because the job
// became final, the final one is there.
func (f *Handler) lookUpStored(ctx context.Context, id string) (final *jobs.Final, active *jobs.Record, err error) {
	it, found, err := f.store.Get(ctx, kvstore.ActiveJobPrefix+id)
	if err != nil {
		return nil, nil, err
	}
	if found {
		var rec jobs.Record
		if err := json.Unmarshal(it.Value, &rec); err != nil {
			return nil, nil, err
		}
		if end, over := rec.End(); over {
			f.jobs.AddFinal(id, end)
			return &end, nil, nil
		}
		return nil, &rec, nil
	}
	it, found, err = f.store.Get(ctx, kvstore.FinalJobPrefix+id)
	if err != nil || !found {
		return nil, nil, err
	}
	var s jobs.Final
	if err := json.Unmarshal(it.Value, &s); err != nil {
		return nil, nil, err
	}
	f.jobs.AddFinal(id, s)
	return &s, nil, nil
}

// storedState answers from the state service: a job whose active record was there at
// the time of the storedState was not final then, so nobody had been told its end.
func (f *Handler) storedState(ctx context.Context, id string) httpx.Response {
	final, active, err := f.lookUpStored(ctx, id)
	switch {
	case err != nil:
		return reject(503, "the job's state can't be read now")
	case final != nil:
		return httpx.JSON(200, final.State(id))
	case active != nil:
		return httpx.JSON(200, wire.JobState{ID: id, Phase: wire.Pending})
	}
	return reject(404, "no such job")
}

// cancelJob ends a job.
func (f *Handler) cancelJob(ctx context.Context, id string) httpx.Response {
	if s, ok := f.jobs.Final(id); ok {
		return httpx.JSON(200, map[string]string{"id": id, "phase": s.Phase})
	}
	team := ""
	if j, ok := f.jobs.Active(id); ok {
		team = j.Team
	} else {
		final, active, err := f.lookUpStored(ctx, id)
		switch {
		case err != nil:
			return reject(503, "the job's state can't be read now")
		case final != nil:
			return httpx.JSON(200, map[string]string{"id": id, "phase": final.Phase})
		case active == nil:
			return reject(404, "no such job")
		}
		team = active.Team
	}
	a, err := f.schedulers.Cancel(ctx, peer.JobRequest{Team: team, ID: id})
	if err != nil || !a.Known || !a.Found || a.Retry {
		return reject(503, "the job is not cancelled yet, ask again")
	}
	return httpx.JSON(200, map[string]string{"id": id, "phase": a.State.Phase})
}
