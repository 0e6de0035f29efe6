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

// schedulerStub answers as the team's placer would.
type schedulerStub struct {
	answer peer.JobResponse
	err    error
}

func (p *schedulerStub) Status(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return p.answer, p.err
}
func (p *schedulerStub) Cancel(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return p.answer, p.err
}

// peersStub stands for the other controllers: cut tells that this one alone is.
type peersStub struct {
	storeUnreachable bool
	answer           httpx.Response
	calls            int
}

func (o *peersStub) StoreUnreachable() bool { return o.storeUnreachable }
func (o *peersStub) Submit([]byte) (httpx.Response, bool) {
	o.calls++
	return o.answer, o.answer.Status != 0
}

const validJob = `{"id":"job-000412","jobclass":"train","owner":"red","shape":"array","rank":"high","shards":16,
 "cpus":8.0,"accelerators":0,"mem_gb":16.0,"bundle":"img-07","size_gb":6.2,"hulls":null,"yard":null,"one_zone":false,
 "spread":false,"loaners":true,"guess_s":240.0,"snap_every_s":30.0,"snap_s":4.0,"due_s":900.0,"later":"ignored"}`

type apiFixture struct {
	*Handler
	t          *testing.T
	store      *fakes.KVClient
	schedulers *schedulerStub
	peers      *peersStub
	nowMS      int64 // ms
	jobs       *jobs.Cache
}

func newAPIFixture(t *testing.T) *apiFixture {
	s := &apiFixture{peers: &peersStub{}, t: t, store: &fakes.KVClient{KVStore: fakes.NewKVStore()}, schedulers: &schedulerStub{err: errors.New("nobody")}, jobs: jobs.NewCache()}
	s.Handler = New(Options{Store: s.store, Schedulers: s.schedulers, Peers: s.peers, Jobs: s.jobs, Limits: map[string]resources.Amounts{"red": resources.Capacity(64, 0, 0)},
		StartWithin: map[string]clock.Micros{"refit": clock.Second}, MaxRecordBytes: 4096, WallClock: func() time.Time { return time.UnixMilli(s.nowMS) },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	s.SetTypes([]wire.MachineType{{Name: "big", CPUs: 32, MemGB: 128, Zones: []string{"a"}}})
	return s
}

func (s *apiFixture) do(method, rest, body string) httpx.Response {
	return s.Handle(s.t.Context(), &httpx.Request{Method: method, Body: []byte(body)}, rest)
}

func TestAcceptance(t *testing.T) {
	s := newAPIFixture(t)
	require.Equal(t, 404, s.do("GET", "/job-000412", "").Status)
	r := s.do("POST", "", validJob)
	require.Equal(t, 201, r.Status)
	require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	require.Equal(t, 200, s.do("POST", "", validJob).Status, "a retry at a controller that has not heard of it yet")
	require.Equal(t, 200, s.do("GET", "/job-000412", "").Status)
}

// The answer of the state service is lost: the user is told to come back, and
// finds the job accepted.
func TestAcceptanceWithALostAnswer(t *testing.T) {
	s := newAPIFixture(t)
	s.store.SetMute(true)
	r := s.do("POST", "", validJob)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	s.store.SetMute(false)
	require.Equal(t, 200, s.do("POST", "", validJob).Status)
}

// During an outage nothing is forgotten and nothing invented.
func TestOutage(t *testing.T) {
	s := newAPIFixture(t)
	s.store.SetDown(true)
	require.Equal(t, 503, s.do("POST", "", validJob).Status)
	require.Equal(t, 503, s.do("GET", "/job-000412", "").Status, "not 404: nobody has read")
	require.Equal(t, 503, s.do("POST", "/job-000412/withdraw", "").Status)
}

// Cut off from the state service alone, a controller has another one store the
// job; when none can, its user is told at once to come back.
func TestAnotherControllerStoresTheJob(t *testing.T) {
	s := newAPIFixture(t)
	s.store.SetCut(true)
	require.Equal(t, 503, s.do("POST", "", validJob).Status)
	s.peers.answer = httpx.Response{Status: 201, Body: []byte(`{"id":"job-000412","phase":"pending"}`)}
	for _, s.peers.storeUnreachable = range []bool{false, true} {
		r := s.do("POST", "", validJob)
		require.Equal(t, 201, r.Status)
		require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	}
	require.Equal(t, 3, s.peers.calls)
	s.store.SetCut(false)
	s.peers.storeUnreachable, s.nowMS = false, 1000
	require.Equal(t, 201, s.do("POST", "", validJob).Status)
	require.Equal(t, 3, s.peers.calls, "it needs nobody now")
}

// In an outage not every submission is tried: the budget is for those that come
// when it is over.
func TestAnOutageIsProbed(t *testing.T) {
	s := newAPIFixture(t)
	s.store.SetCut(true)
	require.Equal(t, 503, s.do("POST", "", validJob).Status)
	s.store.SetCut(false)
	s.nowMS += 200
	r := s.do("POST", "", validJob)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	s.nowMS += 100
	require.Equal(t, 201, s.do("POST", "", validJob).Status)
}

// A job that is over stays over, whoever is asked, and a late copy of its
// submission does not bring it back.
func TestFinalStays(t *testing.T) {
	s := newAPIFixture(t)
	s.do("POST", "", validJob)
	it, _, _ := s.store.Get(t.Context(), kvstore.ActiveJobPrefix+"job-000412")
	_, err := s.store.Commit(t.Context(), wire.Txn{Conditions: []wire.Condition{{Key: it.Key, ModRevision: it.ModRevision}}, Operations: []wire.Operation{
		{Put: kvstore.FinalJobPrefix + "job-000412", Value: jobs.Final{Phase: wire.Cancelled, Team: "red", Tasks: 16}}, {Drop: it.Key}}})
	require.NoError(t, err)
	for range 2 {
		r := s.do("POST", "", validJob)
		require.Equal(t, 200, r.Status)
		require.Contains(t, string(r.Body), `"cancelled"`)
	}
	require.Contains(t, string(s.do("POST", "/job-000412/withdraw", "").Body), `"cancelled"`)
}

// Two placers write a job's end; the one whose claim has moved on fails, even
// when its write arrives late.
func TestALateEndFailsWhenTheClaimHasMoved(t *testing.T) {
	s := newAPIFixture(t)
	s.do("POST", "", validJob)
	it, _, _ := s.store.Get(t.Context(), kvstore.ActiveJobPrefix+"job-000412")
	rev, _ := s.store.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + "team-red", Value: 1}}})
	s.store.SetCapture(true)
	_, err := s.store.Commit(t.Context(), wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + "team-red", ModRevision: rev}, {Key: it.Key, ModRevision: it.ModRevision}},
		Operations: []wire.Operation{{Drop: it.Key}}})
	require.ErrorIs(t, err, kvstore.ErrOutcomeUnknown)
	s.store.SetCapture(false)
	_, err = s.store.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + "team-red", Value: 2}}})
	require.NoError(t, err)
	require.Zero(t, s.store.Release())
	require.Equal(t, 200, s.do("GET", "/job-000412", "").Status)
}

// While the end of a job is being written, its placer says nothing that could be older.
func TestNothingIsToldWhileTheEndIsWritten(t *testing.T) {
	s := newAPIFixture(t)
	s.do("POST", "", validJob)
	it, _, _ := s.store.Get(t.Context(), kvstore.ActiveJobPrefix+"job-000412")
	s.jobs.Apply(kvstore.Event{Key: it.Key, Value: it.Value, ModRevision: it.ModRevision})
	s.schedulers.answer, s.schedulers.err = peer.JobResponse{Known: true, Found: true, Retry: true}, nil
	r := s.do("GET", "/job-000412", "")
	require.Equal(t, 503, r.Status)
	require.Equal(t, 503, s.do("POST", "/job-000412/withdraw", "").Status)
}

func TestRefusals(t *testing.T) {
	s := newAPIFixture(t)
	for _, c := range []struct {
		why    string
		body   string
		status int
	}{
		{"not JSON", `{`, 400},
		{"not an object", `[1]`, 400},
		{"null", `null`, 400},
		{"no id", withReplaced(`"id":"job-000412",`, ``), 400},
		{"a bad id", withReplaced(`job-000412`, `job-x`), 400},
		{"too many tasks", withReplaced(`"shards":16`, `"shards":100001`), 400},
		{"no tasks", withReplaced(`"shards":16`, `"shards":0`), 400},
		{"a fraction of a task", withReplaced(`"shards":16`, `"shards":1.5`), 400},
		{"negative CPUs", withReplaced(`"cpus":8.0`, `"cpus":-1`), 400},
		{"too much", withReplaced(`"cpus":8.0`, `"cpus":1e400`), 400},
		{"an unknown shape", withReplaced(`"array"`, `"heap"`), 400},
		{"an unknown rank", withReplaced(`"high"`, `"highest"`), 400},
		{"a string for a number", withReplaced(`8.0`, `"8"`), 400},
		{"a list that no record holds", withReplaced(`"hulls":null`, `"hulls":["`+strings.Repeat("x", 5000)+`"]`), 400},
		{"an unknown team", withReplaced(`"red"`, `"blue"`), 422},
		{"over the limit", withReplaced(`"cpus":8.0`, `"cpus":65`), 422},
		{"fits nothing", withReplaced(`"cpus":8.0`, `"cpus":33`), 422},
		{"an unknown type", withReplaced(`"hulls":null`, `"hulls":["huge"]`), 422},
		{"an unknown zone", withReplaced(`"yard":null`, `"yard":"z"`), 422},
	} {
		require.Equal(t, c.status, s.do("POST", "", c.body).Status, c.why)
	}
	require.Equal(t, 404, s.do("GET", "/nonsense", "").Status)
	require.Equal(t, 405, s.do("DELETE", "/job-1", "").Status)
	require.Equal(t, 404, s.do("GET", "/job-1/tasks", "").Status)
}

func withReplaced(old, new string) string {
	b := []byte(validJob)
	for i := range b {
		if i+len(old) <= len(b) && string(b[i:i+len(old)]) == old {
			return string(b[:i]) + new + string(b[i+len(old):])
		}
	}
	panic("not found: " + old)
}

// A swarm of jobs of a task or two each: their watermarks come with their acceptance,
// in the same change. Larger ones are marked as their turn comes near.
func TestSmallJobsAreMarkedWithTheirAcceptance(t *testing.T) {
	s := newAPIFixture(t)
	for tasks, marked := range map[string]bool{"1": true, "16": false} {
		body := strings.Replace(strings.Replace(validJob, "000412", "00041"+tasks, 1), `"shards":16`, `"shards":`+tasks, 1)
		require.Equal(t, 201, s.do("POST", "", body).Status)
		it, _, err := s.store.Get(t.Context(), kvstore.ActiveJobPrefix+"job-00041"+tasks)
		require.NoError(t, err)
		require.Equal(t, marked, strings.Contains(string(it.Value), `"marked":true`))
	}
}
