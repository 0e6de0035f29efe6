package api

import (
	"context"
	"errors"
	"io"
	"log/slog"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

const (
	jobID = "job-000412"

	// validJob is a submission that the handler accepts, with an unknown field that it must ignore.
	validJob = `{"id":"job-000412","jobclass":"train","owner":"red","shape":"array","rank":"high","shards":16,
 "cpus":8.0,"accelerators":0,"mem_gb":16.0,"bundle":"img-07","size_gb":6.2,"hulls":null,"yard":null,"one_zone":false,
 "spread":false,"loaners":true,"guess_s":240.0,"snap_every_s":30.0,"snap_s":4.0,"due_s":900.0,"later":"ignored"}`
)

// validJobWith returns validJob with one part replaced. It panics if validJob does not contain the part.
func validJobWith(part, replacement string) string {
	if !strings.Contains(validJob, part) {
		panic("not found: " + part)
	}
	return strings.Replace(validJob, part, replacement, 1)
}

// schedulerStub stands for the scheduler of the team. It answers queries and cancellations with a fixed response or error.
type schedulerStub struct {
	response peer.JobResponse
	err      error
}

func (s *schedulerStub) Status(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return s.response, s.err
}

func (s *schedulerStub) Cancel(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return s.response, s.err
}

// peersStub stands for the other controllers. They answer forwarded submissions with response; while it has no status,
// none of them can be reached.
type peersStub struct {
	storeUnreachable bool // this controller has lost contact with the key-value store
	response         httpx.Response
	calls            int // number of forwarded submissions
}

func (p *peersStub) StoreUnreachable() bool { return p.storeUnreachable }

func (p *peersStub) Submit([]byte) (httpx.Response, bool) {
	p.calls++
	return p.response, p.response.Status != 0
}

// apiFixture is a Handler with an in-memory key-value store and a wall clock that the test advances.
type apiFixture struct {
	*Handler
	t          *testing.T
	store      *fakes.KVClient
	schedulers *schedulerStub
	peers      *peersStub
	jobs       *jobs.Cache
	nowMS      int64
}

func newAPIFixture(t *testing.T) *apiFixture {
	t.Helper()
	f := &apiFixture{
		t:          t,
		store:      &fakes.KVClient{KVStore: fakes.NewKVStore()},
		schedulers: &schedulerStub{err: errors.New("nobody")},
		peers:      &peersStub{},
		jobs:       jobs.NewCache(),
	}
	f.Handler = New(Options{
		Store:          f.store,
		Schedulers:     f.schedulers,
		Peers:          f.peers,
		Jobs:           f.jobs,
		Limits:         map[string]resources.Amounts{"red": resources.Capacity(64, 0, 0)},
		StartWithin:    map[string]clock.Micros{"refit": clock.Second},
		MaxRecordBytes: 4096,
		WallClock:      func() time.Time { return time.UnixMilli(f.nowMS) },
		Log:            slog.New(slog.NewTextHandler(io.Discard, nil)),
	})
	f.SetMachineTypes([]wire.MachineType{{Name: "big", CPUs: 32, MemGB: 128, Zones: []string{"a"}}})
	return f
}

func (f *apiFixture) do(method, rest, body string) httpx.Response {
	f.t.Helper()
	return f.Handle(f.t.Context(), &httpx.Request{Method: method, Body: []byte(body)}, rest)
}

func (f *apiFixture) submit(body string) httpx.Response {
	f.t.Helper()
	return f.do("POST", "", body)
}

// status queries the state of validJob.
func (f *apiFixture) status() httpx.Response {
	f.t.Helper()
	return f.do("GET", "/"+jobID, "")
}

// cancel requests the cancellation of validJob.
func (f *apiFixture) cancel() httpx.Response {
	f.t.Helper()
	return f.do("POST", "/"+jobID+"/withdraw", "")
}

// activeRecord returns the active record of a job from the key-value store.
func (f *apiFixture) activeRecord(id string) wire.Item {
	f.t.Helper()
	item, _, err := f.store.Get(f.t.Context(), kvstore.ActiveJobPrefix+id)
	require.NoError(f.t, err)
	return item
}
