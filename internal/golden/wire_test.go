package golden_test

import (
	"bufio"
	"context"
	stdjson "encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"reflect"
	"strings"
	"testing"
	"time"

	"github.com/segmentio/encoding/json"
	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/api"
	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/httpx"
	"github.com/merlinlatch/merlinlatch/internal/jobs"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/wire"
)

func secondsPointer(s float64) *float64 { return &s }

type wireSample struct {
	name  string
	full  any // a pointer to a message with every field set
	empty any // a pointer to a message without values, as both encoders decode it
}

func wireSamples() []wireSample {
	order := wire.Order{Verb: wire.VerbStop, Task: "job-7/3", Attempt: 1<<63 + 5, GraceS: secondsPointer(4.5)}
	task := wire.TaskStatus{Task: "job-7/3", Attempt: 18446744073709551615, Phase: wire.TaskExited, Cause: wire.CauseNoRoom,
		Checkpointed: true}
	machineType := wire.MachineType{Name: "g8", CPUs: 32, GPUs: 8, MemGB: 256.5, CacheGB: 100, FetchGBPS: 1.25, Price: 3.5, SpotPrice: 1.1,
		BootS: 45,
		Zones: []string{"north", "south"}}
	instance := wire.Instance{ID: "m-1", Addr: "10.0.0.2:9000", Type: "g8", Zone: "north", Spot: true, Phase: wire.MachineBooting,
		AgeS: 12.5}
	item := wire.Item{Key: "job/1", Value: stdjson.RawMessage(`{"a":1}`), ModRevision: 9, LeaseID: 4}
	condition := wire.Condition{Key: "job/1", ModRevision: 9}
	operation := wire.Operation{Put: "job/1", Value: "text", LeaseID: 4, Drop: "job/2"}
	change := wire.Change{Put: "job/1", Drop: "job/2", Value: stdjson.RawMessage(`[1,2]`), ModRevision: 10}
	return []wireSample{
		{"job", &wire.Job{ID: "job-000412", Class: "train", Team: "red", Shape: "array", Priority: "high", Tasks: 16, CPUs: 8.5, GPUs: 1,
			MemGB: 64, Image: "img-07", ImageGB: 6.2, Types: []string{"g8", "c4"}, Zone: "north", OneZone: true, Spread: true, Spot: true,
			RuntimeEstimateS: 240, CheckpointIntervalS: 30, CheckpointDurationS: 4, DeadlineS: secondsPointer(900)}, &wire.Job{}},
		{"job_state", &wire.JobState{ID: "job-7", Phase: wire.Running, Done: 3, Running: 13}, &wire.JobState{}},
		{"error", &wire.Error{Error: "no <such> job & path", Leader: "b"}, &wire.Error{}},
		{"task_report", &task, &wire.TaskStatus{}},
		{"report", &wire.Heartbeat{Machine: "m-1", Addr: "10.0.0.2:9000", Type: "g8", Zone: "north", Spot: true, Incarnation: 5,
			Tick: 6, FencingToken: 7,
			EvictionNoticeS: secondsPointer(30), Tasks: []wire.TaskStatus{task}}, &wire.Heartbeat{}},
		{"order", &order, &wire.Order{}},
		{"report_answer", &wire.HeartbeatResponse{FencingToken: 8, Orders: []wire.Order{order}}, &wire.HeartbeatResponse{}},
		{"orders", &wire.Orders{FencingToken: 8, Incarnation: 5, Orders: []wire.Order{order}}, &wire.Orders{}},
		{"machine_type", &machineType, &wire.MachineType{}},
		{"catalog", &wire.Catalog{Types: []wire.MachineType{machineType}}, &wire.Catalog{}},
		{"rental_request", &wire.ScaleOutRequest{Name: "r-1", Type: "g8", Zone: "north", Spot: true, Count: 50}, &wire.ScaleOutRequest{}},
		{"hosts", &wire.HostList{Hosts: []string{"m-1", "m-2"}}, &wire.HostList{}},
		{"rental", &instance, &wire.Instance{}},
		{"rentals", &wire.InstancePage{Instances: []wire.Instance{instance}, More: true}, &wire.InstancePage{}},
		{"item", &item, &wire.Item{Value: stdjson.RawMessage("null")}},
		{"items", &wire.ItemPage{Items: []wire.Item{item}, More: true, Revision: 11}, &wire.ItemPage{}},
		{"cond", &condition, &wire.Condition{}},
		{"op", &operation, &wire.Operation{}},
		{"multi", &wire.Txn{Conditions: []wire.Condition{condition}, Operations: []wire.Operation{operation}}, &wire.Txn{}},
		{"multi_answer", &wire.TxnResponse{Revision: 12, Failed: []string{"job/1"}}, &wire.TxnResponse{}},
		{"change", &change, &wire.Change{Value: stdjson.RawMessage("null")}},
		{"changes", &wire.WatchResponse{Revision: 12, Changes: []wire.Change{change}}, &wire.WatchResponse{}},
		{"hold_answer", &wire.LeaseResponse{LeaseID: 4}, &wire.LeaseResponse{}},
	}
}

// Users, workers, the cloud and the key-value store depend on the JSON form of the messages: the names and the order of
// the fields, and which are omitted when empty. Both JSON encoders that the service uses must produce this form.
func TestWireMessagesKeepEncodedForm(t *testing.T) {
	for _, s := range wireSamples() {
		full := reflect.ValueOf(s.full).Elem()
		for i := range full.NumField() {
			require.False(t, full.Field(i).IsZero(), "%s: field %d of the sample is not set", s.name, i)
		}
		for variant, message := range map[string]any{"full": s.full, "empty": s.empty} {
			t.Run(s.name+"/"+variant, func(t *testing.T) {
				file := fmt.Sprintf("wire/%s.%s.json", s.name, variant)
				std, err := stdjson.Marshal(message)
				require.NoError(t, err)
				goldenFile(t, file, append(std, '\n'))
				fast, err := json.Marshal(message)
				require.NoError(t, err)
				require.Equal(t, string(std), string(fast), "both encoders must give the same JSON")
				for name, decode := range map[string]func([]byte, any) error{"encoding/json": stdjson.Unmarshal,
					"segmentio": json.Unmarshal} {
					back := reflect.New(full.Type())
					require.NoError(t, decode(std, back.Interface()), name)
					require.Equal(t, message, back.Interface(), name)
				}
			})
		}
	}
}

// These constants are part of the protocols or of the answers to users, so their values must not change.
func TestWireConstantsKeepValues(t *testing.T) {
	var out strings.Builder
	for _, c := range []struct {
		name  string
		value any
	}{
		{"path jobs", wire.PathJobs}, {"path ready", wire.PathReady}, {"path report", wire.PathHeartbeat}, {"path orders", wire.PathOrders},
		{"path show", wire.PathShow}, {"path catalog", wire.PathCatalog}, {"path rentals", wire.PathInstances},
		{"path return", wire.PathScaleIn},
		{"path keys", wire.PathKeys}, {"path multi", wire.PathTxn}, {"path holds", wire.PathLeases}, {"path changes", wire.PathWatch},
		{"limit body", wire.MaxBody}, {"limit tasks", wire.MaxTasks}, {"limit rental", wire.MaxScaleOut},
		{"limit list", wire.MaxList}, {"limit multi", wire.MaxTxnBytes},
		{"job pending", wire.Pending}, {"job running", wire.Running}, {"job done", wire.Done}, {"job cancelled", wire.Cancelled},
		{"task fetching", wire.TaskFetching}, {"task running", wire.TaskRunning}, {"task saving", wire.TaskCheckpointing},
		{"task exited", wire.TaskExited},
		{"cause done", wire.CauseDone}, {"cause stopped", wire.CauseStopped}, {"cause error", wire.CauseError},
		{"cause no room", wire.CauseNoRoom},
		{"cause busy", wire.CauseBusy}, {"cause no such", wire.CauseNoSuch},
		{"verb run", wire.VerbRun}, {"verb stop", wire.VerbStop}, {"verb forget", wire.VerbForget},
		{"machine booting", wire.MachineBooting}, {"machine running", wire.MachineRunning}, {"machine failed", wire.MachineFailed},
		{"ranks", wire.Priorities}, {"level of idle", wire.PriorityLevel("idle")},
		{"level of production", wire.PriorityLevel("production")}, {"level of another", wire.PriorityLevel("low")},
	} {
		fmt.Fprintf(&out, "%s: %v\n", c.name, c.value)
	}
	goldenFile(t, "wire/constants.txt", []byte(out.String()))
}

const wireJob = `{"id":"job-1","jobclass":"c","owner":"t","shape":"array","rank":"idle","shards":1,` +
	`"cpus":1,"mem_gb":1,"bundle":"i","size_gb":1,"guess_s":1}`

// A user gets these error texts in an answer with status 400. If several fields are missing, the error names only the
// first, so each case omits one field only.
func TestJobErrorsKeepTexts(t *testing.T) {
	var out strings.Builder
	recordError := func(what, body string) {
		_, err := wire.ParseJob([]byte(body))
		require.Error(t, err, what)
		fmt.Fprintf(&out, "%s: %v\n", what, err)
	}
	_, err := wire.ParseJob([]byte(wireJob))
	require.NoError(t, err)
	jobWith := func(name string, value any) string {
		var fields map[string]any
		require.NoError(t, stdjson.Unmarshal([]byte(wireJob), &fields))
		fields[name] = value
		if value == nil {
			delete(fields, name)
		}
		b, err := stdjson.Marshal(fields)
		require.NoError(t, err)
		return string(b)
	}
	for _, name := range []string{"id", "jobclass", "owner", "shape", "rank", "shards", "cpus", "mem_gb", "bundle", "size_gb", "guess_s"} {
		recordError("without "+name, jobWith(name, nil))
	}
	for _, c := range []struct {
		name  string
		value any
	}{
		{"id", "task-1"}, {"id", "job-x"}, {"shape", "gang"}, {"rank", "low"}, {"shards", 0}, {"shards", 100_001},
		{"cpus", -1}, {"accelerators", -1}, {"mem_gb", 2e9}, {"size_gb", -1}, {"guess_s", -1}, {"snap_every_s", -1}, {"snap_s", -1},
		{"due_s", -1}, {"owner", ""},
	} {
		recordError(fmt.Sprintf("%s = %v", c.name, c.value), jobWith(c.name, c.value))
	}
	recordError("long owner", jobWith("owner", strings.Repeat("x", 201)))
	recordError("long jobclass", jobWith("jobclass", strings.Repeat("x", 201)))
	recordError("long bundle", jobWith("bundle", strings.Repeat("x", 501)))
	recordError("takes nothing", strings.NewReplacer(`"cpus":1`, `"cpus":0`, `"mem_gb":1`, `"mem_gb":0`).Replace(wireJob))
	recordError("a list", "[]")
	recordError("no JSON", "{")
	goldenFile(t, "wire/refusals.txt", []byte(out.String()))
}

// The error for a field of a wrong type must name the JSON field, so that the user can find it. The text also contains
// Go types, which the test does not compare.
func TestJobWithFieldOfWrongTypeIsRejected(t *testing.T) {
	for _, name := range []string{"id", "jobclass", "owner", "shape", "rank", "bundle"} {
		_, err := wire.ParseJob([]byte(`{"` + name + `":{}}`))
		require.ErrorContains(t, err, "reading the job: json: cannot unmarshal object into Go struct field ."+name+" of type string")
	}
	for _, name := range []string{"shards", "cpus", "mem_gb", "size_gb", "guess_s"} {
		_, err := wire.ParseJob([]byte(`{"` + name + `":"x"}`))
		require.ErrorContains(t, err, "reading the job: json: cannot unmarshal string into Go struct field ."+name+" of type ")
	}
}

// Workers report tasks by names of this form. A name that is parsed differently would assign a report to another task.
func TestTaskNamesKeepForm(t *testing.T) {
	require.Equal(t, "job-7/3", wire.TaskName("job-7", 3))
	for _, c := range []struct {
		name, job string
		n         int
		ok        bool
	}{
		{"job-7/3", "job-7", 3, true}, {"job-7/0000003", "job-7", 3, true}, {"a/b/99999", "a/b", 99999, true},
		{"", "", 0, false}, {"/3", "", 0, false}, {"job-7/", "", 0, false}, {"job-7/x", "", 0, false}, {"job-7/-1", "", 0, false},
		{"job-7/00000003", "", 0, false},
	} {
		job, n, ok := wire.SplitTask(c.name)
		require.Equal(t, c.ok, ok, c.name)
		if ok {
			require.Equal(t, c.job, job, c.name)
			require.Equal(t, c.n, n, c.name)
		}
	}
}

// recordRequests starts a server that answers each connection with the next of the answers. It returns the server's
// address, and a channel that receives each request as text: method and target, then the body.
func recordRequests(t *testing.T, answers ...string) (addr string, requests <-chan string) {
	t.Helper()
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	got := make(chan string, len(answers))
	go func() {
		for _, a := range answers {
			c, err := l.Accept()
			if err != nil {
				return
			}
			r, err := http.ReadRequest(bufio.NewReader(c))
			if err != nil {
				c.Close()
				return
			}
			body, _ := io.ReadAll(r.Body)
			got <- fmt.Sprintf("%s %s\n%s\n", r.Method, r.RequestURI, body)
			fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\nConnection: close\r\n\r\n%s", len(a), a)
			c.Close()
		}
	}()
	return l.Addr().String(), got
}

// The client of the key-value store builds the targets and some bodies of its requests without a type of package wire,
// so the tests of that package's types do not cover them.
func TestKVStoreRequestsKeepForm(t *testing.T) {
	addr, requests := recordRequests(t,
		`{"k":"job/1","v":1,"stamp":2,"hold":3}`,
		`{"items":[{"k":"a b/1","v":1,"stamp":2}],"truncated":true,"ledger_rev":5}`, `{"items":[],"truncated":false,"ledger_rev":6}`,
		`{"ledger_rev":7,"failed":[]}`, `{"hold":8}`, `{}`, `{"ledger_rev":9,"log":[{"put":"a","v":1,"stamp":9}]}`)
	c := kvstore.NewClient(addr, 1000, 1000, 1, 1<<20)
	item, found, err := c.Get(t.Context(), "job/1")
	require.NoError(t, err)
	require.True(t, found)
	require.Equal(t, wire.Item{Key: "job/1", Value: stdjson.RawMessage("1"), ModRevision: 2, LeaseID: 3}, item)
	items, rev, err := c.List(t.Context(), "a b/")
	require.NoError(t, err)
	require.Len(t, items, 1)
	require.EqualValues(t, 5, rev)
	rev, err = c.Commit(t.Context(), wire.Txn{Operations: []wire.Operation{{Put: "k", Value: map[string]int{"n": 1}, LeaseID: 3},
		{Drop: "l"}}})
	require.NoError(t, err)
	require.EqualValues(t, 7, rev)
	leaseID, err := c.GrantLease(t.Context(), 24*time.Second)
	require.NoError(t, err)
	require.EqualValues(t, 8, leaseID)
	require.NoError(t, c.KeepAlive(t.Context(), 8, 3*time.Second))
	changes, err := c.Watch(t.Context(), "a b/", 7, 1500*time.Millisecond)
	require.NoError(t, err)
	require.EqualValues(t, 9, changes.Revision)
	var out strings.Builder
	for range 7 {
		out.WriteString(<-requests)
	}
	goldenFile(t, "wire/state_requests.txt", []byte(out.String()))
}

// stubScheduler answers every request about a job with the same response or error, in place of the team's leader.
type stubScheduler struct {
	response peer.JobResponse
	err      error
}

func (p *stubScheduler) Status(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return p.response, p.err
}

func (p *stubScheduler) Cancel(context.Context, peer.JobRequest) (peer.JobResponse, error) {
	return p.response, p.err
}

// unreachablePeers stands for the other controllers when none of them can be reached.
type unreachablePeers struct{}

func (unreachablePeers) StoreUnreachable() bool               { return false }
func (unreachablePeers) Submit([]byte) (httpx.Response, bool) { return httpx.Response{}, false }

// Users and their clients depend on the status, the body and the Retry-After header of answers, so the test compares
// the bytes of whole answers.
func TestResponsesToUsersKeepForm(t *testing.T) {
	storeClient := &fakes.KVClient{KVStore: fakes.NewKVStore()}
	scheduler := &stubScheduler{err: errors.New("nobody")}
	jobCache := jobs.NewCache()
	handler := api.New(api.Options{Store: storeClient, Schedulers: scheduler, Peers: unreachablePeers{}, Jobs: jobCache,
		Limits:         map[string]resources.Amounts{"t": resources.Capacity(64, 0, 0)},
		MaxRecordBytes: 4096, WallClock: func() time.Time { return time.UnixMilli(0) },
		Log: slog.New(slog.NewTextHandler(io.Discard, nil))})
	var out strings.Builder
	record := func(what, method, rest, body string) {
		r := handler.Handle(t.Context(), &httpx.Request{Method: method, Body: []byte(body)}, rest)
		answer := strings.ReplaceAll(string(httpx.AppendResponse(nil, r)), "\r\n", "\n")
		fmt.Fprintf(&out, "--- %s\n%s\n", what, answer)
	}
	record("types not known", "POST", "", wireJob)
	handler.SetMachineTypes([]wire.MachineType{{Name: "big", CPUs: 32, MemGB: 128, Zones: []string{"a"}}})
	record("unknown job", "GET", "/job-1", "")
	record("unknown job cancelled", "POST", "/job-1/withdraw", "")
	record("accepted", "POST", "", wireJob)
	record("repeated", "POST", "", wireJob)
	record("pending", "GET", "/job-1", "")
	record("not cancelled yet", "POST", "/job-1/withdraw", "")
	scheduler.err, scheduler.response = nil, peer.JobResponse{Known: true, Found: true,
		State: wire.JobState{ID: "job-1", Phase: wire.Cancelled}}
	record("cancelled", "POST", "/job-1/withdraw", "")
	jobCache.AddFinal("job-2", jobs.Final{Phase: wire.Done, Team: "t", Tasks: 5})
	record("done", "GET", "/job-2", "")
	record("done cancelled", "POST", "/job-2/withdraw", "")
	record("done submitted again", "POST", "", strings.Replace(wireJob, "job-1", "job-2", 1))
	other := strings.Replace(wireJob, "job-1", "job-3", 1)
	record("no JSON", "POST", "", `{}x`)
	record("missing field", "POST", "", strings.Replace(other, `"jobclass":"c",`, "", 1))
	record("unknown team", "POST", "", strings.Replace(other, `"owner":"t"`, `"owner":"u"`, 1))
	record("over the limit", "POST", "", strings.Replace(other, `"cpus":1`, `"cpus":65`, 1))
	record("fits nowhere", "POST", "", strings.Replace(other, `"cpus":1`, `"cpus":64`, 1))
	record("too large", "POST", "", strings.Replace(other, `"id"`, `"hulls":["`+strings.Repeat("x", 5000)+`"],"id"`, 1))
	record("no job id", "GET", "/job-x", "")
	record("no such path", "GET", "/job-1/other", "")
	record("method of jobs", "GET", "", "")
	record("method of a job", "DELETE", "/job-1", "")
	record("method of a cancellation", "GET", "/job-1/withdraw", "")
	storeClient.SetDown(true)
	record("outage, submitted", "POST", "", other)
	record("outage, asked", "GET", "/job-3", "")
	record("outage, cancelled", "POST", "/job-3/withdraw", "")
	goldenFile(t, "wire/user_answers.txt", []byte(out.String()))
}
