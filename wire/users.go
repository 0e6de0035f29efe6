// Package wire holds the formats that merlinlatch speaks with users, workers,
// the cloud and the state service. Clients may use it too.
package wire

import (
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// Paths of the interfaces.
const (
	PathJobs      = "/api/jobs"
	PathReady     = "/ready"
	PathHeartbeat = "/v1/report"
	PathOrders    = "/orders"
	PathShow      = "/show"
	PathCatalog   = "/catalog"
	PathInstances = "/rentals"
	PathScaleIn   = "/rentals/return"
	PathKeys      = "/keys"
	PathTxn       = "/multi"
	PathLeases    = "/holds"
	PathWatch     = "/changes"
)

// Limits of the protocol.
const (
	MaxBody     = 64 << 10
	MaxTasks    = 100_000
	MaxScaleOut = 50
	MaxList     = 500
	MaxTxnBytes = 48 << 10 // bytes of a transaction's values: what they are wrapped in comes on top
)

// Phases of a job.
const (
	Pending   = "pending"
	Running   = "running"
	Done      = "done"
	Cancelled = "cancelled"
)

// Phases of a task on a machine.
const (
	TaskFetching      = "fetching"
	TaskRunning       = "running"
	TaskCheckpointing = "saving"
	TaskExited        = "exited"
)

// Causes of an exit.
const (
	CauseDone    = "done"
	CauseStopped = "stopped"
	CauseError   = "error"
	CauseNoRoom  = "no_room"
	CauseBusy    = "busy"
	CauseNoSuch  = "no_such"
)

// Verbs of orders.
const (
	VerbRun    = "run"
	VerbStop   = "stop"
	VerbForget = "forget"
)

// Phases of a rented machine.
const (
	MachineBooting = "booting"
	MachineRunning = "running"
	MachineFailed  = "failed"
)

// Priorities are the priorities, lowest first.
var Priorities = []string{"idle", "normal", "high", "production"}

// PriorityLevel gives the place of a rank, -1 when unknown.
func PriorityLevel(rank string) int {
	for i, r := range Priorities {
		if r == rank {
			return i
		}
	}
	return -1
}

// Job is a submission.
type Job struct {
	ID                  string   `json:"id"`
	Class               string   `json:"jobclass"`
	Team                string   `json:"owner"`
	Shape               string   `json:"shape"`
	Priority            string   `json:"rank"`
	Tasks               int      `json:"shards"`
	CPUs                float64  `json:"cpus"`
	GPUs                float64  `json:"accelerators"`
	MemGB               float64  `json:"mem_gb"`
	Image               string   `json:"bundle"`
	ImageGB             float64  `json:"size_gb"`
	Types               []string `json:"hulls"`
	Zone                string   `json:"yard"`
	OneZone             bool     `json:"one_zone"`
	Spread              bool     `json:"spread"`
	Spot                bool     `json:"loaners"`
	RuntimeEstimateS    float64  `json:"guess_s"`
	CheckpointIntervalS float64  `json:"snap_every_s"`
	CheckpointDurationS float64  `json:"snap_s"`
	DeadlineS           *float64 `json:"due_s"`
}

// ParseJob reads and checks a submission; any error means a 400.
func ParseJob(body []byte) (Job, error) {
	var need struct {
		ID     *string  `json:"id"`
		Class  *string  `json:"jobclass"`
		Team   *string  `json:"owner"`
		Shape  *string  `json:"shape"`
		Rank   *string  `json:"rank"`
		Tasks  *int     `json:"shards"`
		CPUs   *float64 `json:"cpus"`
		MemGB  *float64 `json:"mem_gb"`
		Image  *string  `json:"bundle"`
		SizeGB *float64 `json:"size_gb"`
		Guess  *float64 `json:"guess_s"`
	}
	var j Job
	trimmed := strings.TrimLeft(string(body), " \t\r\n")
	if !strings.HasPrefix(trimmed, "{") {
		return j, fmt.Errorf("the body is not a JSON object")
	}
	if err := json.Unmarshal(body, &need); err != nil {
		return j, fmt.Errorf("reading the job: %w", err)
	}
	if err := json.Unmarshal(body, &j); err != nil {
		return j, fmt.Errorf("reading the job: %w", err)
	}
	for name, missing := range map[string]bool{
		"id": need.ID == nil, "jobclass": need.Class == nil, "owner": need.Team == nil, "shape": need.Shape == nil,
		"rank": need.Rank == nil, "shards": need.Tasks == nil, "cpus": need.CPUs == nil, "mem_gb": need.MemGB == nil,
		"bundle": need.Image == nil, "size_gb": need.SizeGB == nil, "guess_s": need.Guess == nil,
	} {
		if missing {
			return j, fmt.Errorf("field %s is missing", name)
		}
	}
	return j, j.check()
}

func (j Job) check() error {
	if !ValidJobID(j.ID) {
		return fmt.Errorf("field id is not a job id")
	}
	if j.Shape != "array" {
		return fmt.Errorf("field shape: %q is not known", j.Shape)
	}
	if PriorityLevel(j.Priority) < 0 {
		return fmt.Errorf("field rank: %q is not known", j.Priority)
	}
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return fmt.Errorf("field shards must be 1 to %d", MaxTasks)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"cpus", j.CPUs}, {"accelerators", j.GPUs}, {"mem_gb", j.MemGB}, {"size_gb", j.ImageGB},
		{"guess_s", j.RuntimeEstimateS}, {"snap_every_s", j.CheckpointIntervalS}, {"snap_s", j.CheckpointDurationS}} {
		if math.IsNaN(f.v) || f.v < 0 || f.v > 1e9 {
			return fmt.Errorf("field %s is out of range", f.name)
		}
	}
	if j.DeadlineS != nil && (*j.DeadlineS < 0 || *j.DeadlineS > 1e9) {
		return fmt.Errorf("field due_s is out of range")
	}
	if j.CPUs == 0 && j.GPUs == 0 && j.MemGB == 0 {
		return fmt.Errorf("field cpus: a task must take something")
	}
	if len(j.Team) > 200 || len(j.Class) > 200 || len(j.Image) > 500 || j.Team == "" {
		return fmt.Errorf("a name is empty or too long")
	}
	return nil
}

// ValidJobID tells whether id has the form of a job id: "job-" and digits.
func ValidJobID(id string) bool {
	rest, ok := strings.CutPrefix(id, "job-")
	if !ok || rest == "" || len(rest) > 40 {
		return false
	}
	for _, c := range rest {
		if c < '0' || c > '9' {
			return false
		}
	}
	return true
}

// JobState is what a user is told of a job.
type JobState struct {
	ID      string `json:"id"`
	Phase   string `json:"phase"`
	Done    int    `json:"done"`
	Running int    `json:"running"`
}

// Error is the body of every refusal.
type Error struct {
	Error  string `json:"error"`
	Leader string `json:"steward,omitempty"`
}

// TaskStatus is one task in a worker's report.
type TaskStatus struct {
	Task         string `json:"shard"`
	Attempt      uint64 `json:"try"`
	Phase        string `json:"phase"`
	Cause        string `json:"cause,omitempty"`
	Checkpointed bool   `json:"stored,omitempty"`
}

// Heartbeat is what a worker says of itself.
type Heartbeat struct {
	Machine         string       `json:"host"`
	Addr            string       `json:"addr"`
	Type            string       `json:"hull"`
	Zone            string       `json:"yard"`
	Spot            bool         `json:"loaners"`
	Incarnation     uint64       `json:"tenure"`
	Tick            uint64       `json:"tick"`
	FencingToken    uint64       `json:"epoch"`
	EvictionNoticeS *float64     `json:"recall_s"`
	Tasks           []TaskStatus `json:"shards"`
}

// Order is one command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"shard"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// HeartbeatResponse answers a report.
type HeartbeatResponse struct {
	FencingToken uint64  `json:"epoch"`
	Orders       []Order `json:"orders"`
}

// Orders is the body of POST /orders.
type Orders struct {
	FencingToken uint64  `json:"epoch"`
	Incarnation  uint64  `json:"tenure"`
	Orders       []Order `json:"orders"`
}

// TaskName joins a job and a task number.
func TaskName(job string, n int) string { return fmt.Sprintf("%s/%d", job, n) }

// SplitTask takes a task name apart.
func SplitTask(name string) (job string, n int, ok bool) {
	i := strings.LastIndexByte(name, '/')
	if i <= 0 || i+1 >= len(name) || len(name)-i > 8 {
		return "", 0, false
	}
	for _, c := range name[i+1:] {
		if c < '0' || c > '9' {
			return "", 0, false
		}
		n = n*10 + int(c-'0')
	}
	return name[:i], n, true
}

// MachineType is one entry of the catalog.
type MachineType struct {
	Name      string   `json:"name"`
	CPUs      float64  `json:"cpus"`
	GPUs      float64  `json:"accelerators"`
	MemGB     float64  `json:"mem_gb"`
	CacheGB   float64  `json:"cache_gb"`
	FetchGBPS float64  `json:"fetch_gb_per_s"`
	Price     float64  `json:"price"`
	SpotPrice float64  `json:"low_price"`
	BootS     float64  `json:"ready_s"`
	Zones     []string `json:"yards"`
}

// Catalog lists the machine types.
type Catalog struct {
	Types []MachineType `json:"hulls"`
}

// ScaleOutRequest asks for machines.
type ScaleOutRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"hull"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"how_many"`
}

// HostList names machines.
type HostList struct {
	Hosts []string `json:"hosts"`
}

// Instance is one machine in the cloud's list.
type Instance struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"hull"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`
	AgeS  float64 `json:"held_s"`
}

// InstancePage is one page of the cloud's list.
type InstancePage struct {
	Instances []Instance `json:"hosts"`
	More      bool       `json:"truncated"`
}

// Item is a key of the state service.
type Item struct {
	Key         string          `json:"k"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`
	LeaseID     uint64          `json:"hold,omitempty"`
}

// ItemPage is one page of keys.
type ItemPage struct {
	Items    []Item `json:"items"`
	More     bool   `json:"truncated"`
	Revision uint64 `json:"ledger_rev"`
}

// Condition is a condition of a transaction.
type Condition struct {
	Key         string `json:"k"`
	ModRevision uint64 `json:"stamp"`
}

// Operation is a put (Put, Value, Hold) or a drop.
type Operation struct {
	Put     string `json:"put,omitempty"`
	Value   any    `json:"v,omitempty"`
	LeaseID uint64 `json:"hold,omitempty"`
	Drop    string `json:"drop,omitempty"`
}

// Txn is a transaction.
type Txn struct {
	Conditions []Condition `json:"when"`
	Operations []Operation `json:"then"`
}

// TxnResponse answers a transaction.
type TxnResponse struct {
	Revision uint64   `json:"ledger_rev"`
	Failed   []string `json:"failed"`
}

// Change is one entry of the change log.
type Change struct {
	Put         string          `json:"put"`
	Drop        string          `json:"drop"`
	Value       json.RawMessage `json:"v"`
	ModRevision uint64          `json:"stamp"`
}

// WatchResponse answers a watch.
type WatchResponse struct {
	Revision uint64   `json:"ledger_rev"`
	Changes  []Change `json:"log"`
}

// LeaseResponse answers the making of a hold.
type LeaseResponse struct {
	LeaseID uint64 `json:"hold"`
}
