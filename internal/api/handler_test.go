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

// placers answers as the team's placer would.
type placers struct {
	answer peer.JobResponse
	err    error
}

func (p *placers) Status(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return p.answer, p.err
}
func (p *placers) Cancel(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return p.answer, p.err
}

// others stands for the other controllers: cut tells that this one alone is.
type others struct {
	cut    bool
	answer httpx.Response
	asked  int
}

func (o *others) StoreUnreachable() bool { return o.cut }
func (o *others) Submit([]byte) (httpx.Response, bool) {
	o.asked++
	return o.answer, o.answer.Status != 0
}

const good = `{"id":"job-000412","jobclass":"train","owner":"red","shape":"array","rank":"high","shards":16,
 "cpus":8.0,"accelerators":0,"mem_gb":16.0,"bundle":"img-07","size_gb":6.2,"hulls":null,"yard":null,"one_zone":false,
 "spread":false,"loaners":true,"guess_s":240.0,"snap_every_s":30.0,"snap_s":4.0,"due_s":900.0,"later":"ignored"}`

type scene struct {
	*Handler
	t    *testing.T
	view *fakes.KVClient
	pl   *placers
	oth  *others
	now  int64 // ms
	book *jobs.Cache
}

func newScene(t *testing.T) *scene {
	s := &scene{oth: &others{}, t: t, view: &fakes.KVClient{KVStore: fakes.NewKVStore()}, pl: &placers{err: errors.New("nobody")}, book: jobs.NewCache()}
	s.Handler = New(Options{Store: s.view, Schedulers: s.pl, Peers: s.oth, Jobs: s.book, Limits: map[string]resources.Amounts{"red": resources.Capacity(64, 0, 0)},
		StartWithin: map[string]clock.Micros{"refit": clock.Second}, MaxRecordBytes: 4096, WallClock: func() time.Time { return time.UnixMilli(s.now) },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	s.SetTypes([]wire.MachineType{{Name: "big", CPUs: 32, MemGB: 128, Zones: []string{"a"}}})
	return s
}

func (s *scene) do(method, rest, body string) httpx.Response {
	return s.Handle(s.t.Context(), &httpx.Request{Method: method, Body: []byte(body)}, rest)
}

func TestAcceptance(t *testing.T) {
	s := newScene(t)
	require.Equal(t, 404, s.do("GET", "/job-000412", "").Status)
	r := s.do("POST", "", good)
	require.Equal(t, 201, r.Status)
	require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	require.Equal(t, 200, s.do("POST", "", good).Status, "a retry at a controller that has not heard of it yet")
	require.Equal(t, 200, s.do("GET", "/job-000412", "").Status)
}

// The answer of the state service is lost: the user is told to come back, and
// finds the job accepted.
func TestAcceptanceWithALostAnswer(t *testing.T) {
	s := newScene(t)
	s.view.SetMute(true)
	r := s.do("POST", "", good)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	s.view.SetMute(false)
	require.Equal(t, 200, s.do("POST", "", good).Status)
}

// During an outage nothing is forgotten and nothing invented.
func TestOutage(t *testing.T) {
	s := newScene(t)
	s.view.SetDown(true)
	require.Equal(t, 503, s.do("POST", "", good).Status)
	require.Equal(t, 503, s.do("GET", "/job-000412", "").Status, "not 404: nobody has read")
	require.Equal(t, 503, s.do("POST", "/job-000412/withdraw", "").Status)
}

// Cut off from the state service alone, a controller has another one store the
// job; when none can, its user is told at once to come back.
func TestAnotherControllerStoresTheJob(t *testing.T) {
	s := newScene(t)
	s.view.SetCut(true)
	require.Equal(t, 503, s.do("POST", "", good).Status)
	s.oth.answer = httpx.Response{Status: 201, Body: []byte(`{"id":"job-000412","phase":"pending"}`)}
	for _, s.oth.cut = range []bool{false, true} {
		r := s.do("POST", "", good)
		require.Equal(t, 201, r.Status)
		require.JSONEq(t, `{"id":"job-000412","phase":"pending"}`, string(r.Body))
	}
	require.Equal(t, 3, s.oth.asked)
	s.view.SetCut(false)
	s.oth.cut, s.now = false, 1000
	require.Equal(t, 201, s.do("POST", "", good).Status)
	require.Equal(t, 3, s.oth.asked, "it needs nobody now")
}

// In an outage not every submission is tried: the budget is for those that come
// when it is over.
func TestAnOutageIsProbed(t *testing.T) {
	s := newScene(t)
	s.view.SetCut(true)
	require.Equal(t, 503, s.do("POST", "", good).Status)
	s.view.SetCut(false)
	s.now += 200
	r := s.do("POST", "", good)
	require.Equal(t, 503, r.Status)
	require.Equal(t, 1, r.RetryAfter)
	s.now += 100
	require.Equal(t, 201, s.do("POST", "", good).Status)
}

// A job that is over stays over, whoever is asked, and a late copy of its
// submission does not bring it back.
func TestFinalStays(t *testing.T) {
	s := newScene(t)
	s.do("POST", "", good)
	it, _, _ := s.view.Get(t.Context(), kvstore.ActiveJobPrefix+"job-000412")
	_, err := s.view.Commit(t.Context(), wire.Txn{Conditions: []wire.Condition{{Key: it.Key, ModRevision: it.ModRevision}}, Operations: []wire.Operation{
		{Put: kvstore.FinalJobPrefix + "job-000412", Value: jobs.Final{Phase: wire.Cancelled, Team: "red", Tasks: 16}}, {Drop: it.Key}}})
	require.NoError(t, err)
	for range 2 {
		r := s.do("POST", "", good)
		require.Equal(t, 200, r.Status)
		require.Contains(t, string(r.Body), `"cancelled"`)
	}
	require.Contains(t, string(s.do("POST", "/job-000412/withdraw", "").Body), `"cancelled"`)
}

// Two placers write a job's end; the one whose claim has moved on fails, even
// when its write arrives late.
func TestALateEndFailsWhenTheClaimHasMoved(t *testing.T) {
	s := newScene(t)
	s.do("POST", "", good)
	it, _, _ := s.view.Get(t.Context(), kvstore.ActiveJobPrefix+"job-000412")
	rev, _ := s.view.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + "team-red", Value: 1}}})
	s.view.SetCapture(true)
	_, err := s.view.Commit(t.Context(), wire.Txn{Conditions: []wire.Condition{{Key: kvstore.LeaderPrefix + "team-red", ModRevision: rev}, {Key: it.Key, ModRevision: it.ModRevision}},
		Operations: []wire.Operation{{Drop: it.Key}}})
	require.ErrorIs(t, err, kvstore.ErrOutcomeUnknown)
	s.view.SetCapture(false)
	_, err = s.view.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: kvstore.LeaderPrefix + "team-red", Value: 2}}})
	require.NoError(t, err)
	require.Zero(t, s.view.Release())
	require.Equal(t, 200, s.do("GET", "/job-000412", "").Status)
}

// While the end of a job is being written, its placer says nothing that could be older.
func TestNothingIsToldWhileTheEndIsWritten(t *testing.T) {
	s := newScene(t)
	s.do("POST", "", good)
	it, _, _ := s.view.Get(t.Context(), kvstore.ActiveJobPrefix+"job-000412")
	s.book.Apply(kvstore.Event{Key: it.Key, Value: it.Value, ModRevision: it.ModRevision})
	s.pl.answer, s.pl.err = peer.JobResponse{Known: true, Found: true, Retry: true}, nil
	r := s.do("GET", "/job-000412", "")
	require.Equal(t, 503, r.Status)
	require.Equal(t, 503, s.do("POST", "/job-000412/withdraw", "").Status)
}

func TestRefusals(t *testing.T) {
	s := newScene(t)
	for _, c := range []struct {
		why    string
		body   string
		status int
	}{
		{"not JSON", `{`, 400},
		{"not an object", `[1]`, 400},
		{"null", `null`, 400},
		{"no id", replace(`"id":"job-000412",`, ``), 400},
		{"a bad id", replace(`job-000412`, `job-x`), 400},
		{"too many tasks", replace(`"shards":16`, `"shards":100001`), 400},
		{"no tasks", replace(`"shards":16`, `"shards":0`), 400},
		{"a fraction of a task", replace(`"shards":16`, `"shards":1.5`), 400},
		{"negative CPUs", replace(`"cpus":8.0`, `"cpus":-1`), 400},
		{"too much", replace(`"cpus":8.0`, `"cpus":1e400`), 400},
		{"an unknown shape", replace(`"array"`, `"heap"`), 400},
		{"an unknown rank", replace(`"high"`, `"highest"`), 400},
		{"a string for a number", replace(`8.0`, `"8"`), 400},
		{"a list that no record holds", replace(`"hulls":null`, `"hulls":["`+strings.Repeat("x", 5000)+`"]`), 400},
		{"an unknown team", replace(`"red"`, `"blue"`), 422},
		{"over the limit", replace(`"cpus":8.0`, `"cpus":65`), 422},
		{"fits nothing", replace(`"cpus":8.0`, `"cpus":33`), 422},
		{"an unknown type", replace(`"hulls":null`, `"hulls":["huge"]`), 422},
		{"an unknown zone", replace(`"yard":null`, `"yard":"z"`), 422},
	} {
		require.Equal(t, c.status, s.do("POST", "", c.body).Status, c.why)
	}
	require.Equal(t, 404, s.do("GET", "/nonsense", "").Status)
	require.Equal(t, 405, s.do("DELETE", "/job-1", "").Status)
	require.Equal(t, 404, s.do("GET", "/job-1/tasks", "").Status)
}

func replace(old, new string) string {
	b := []byte(good)
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
	s := newScene(t)
	for tasks, marked := range map[string]bool{"1": true, "16": false} {
		body := strings.Replace(strings.Replace(good, "000412", "00041"+tasks, 1), `"shards":16`, `"shards":`+tasks, 1)
		require.Equal(t, 201, s.do("POST", "", body).Status)
		it, _, err := s.view.Get(t.Context(), kvstore.ActiveJobPrefix+"job-00041"+tasks)
		require.NoError(t, err)
		require.Equal(t, marked, strings.Contains(string(it.Value), `"marked":true`))
	}
}
