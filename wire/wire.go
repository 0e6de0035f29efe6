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
	PathJobs    = "/api/jobs"
	PathReady   = "/ready"
	PathReport  = "/v1/report"
	PathOrders  = "/orders"
	PathShow    = "/show"
	PathCatalog = "/catalog"
	PathRentals = "/rentals"
	PathReturn  = "/rentals/return"
	PathKeys    = "/keys"
	PathMulti   = "/multi"
	PathHolds   = "/holds"
	PathChanges = "/changes"
)

// Limits of the protocol.
const (
	MaxBody   = 64 << 10
	MaxTasks  = 100_000
	MaxRental = 50
	MaxList   = 500
	MaxMulti  = 48 << 10 // bytes of a transaction's values: what they are wrapped in comes on top
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
	TaskFetching = "fetching"
	TaskRunning  = "running"
	TaskSaving   = "saving"
	TaskExited   = "exited"
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

// Ranks are the priorities, lowest first.
var Ranks = []string{"idle", "normal", "high", "production"}

// RankLevel gives the place of a rank, -1 when unknown.
func RankLevel(rank string) int {
	for i, r := range Ranks {
		if r == rank {
			return i
		}
	}
	return -1
}

// Job is a submission.
type Job struct {
	ID         string   `json:"id"`
	Class      string   `json:"jobclass"`
	Team       string   `json:"owner"`
	Shape      string   `json:"shape"`
	Rank       string   `json:"rank"`
	Tasks      int      `json:"shards"`
	CPUs       float64  `json:"cpus"`
	GPUs       float64  `json:"accelerators"`
	MemGB      float64  `json:"mem_gb"`
	Image      string   `json:"bundle"`
	ImageGB    float64  `json:"size_gb"`
	Types      []string `json:"hulls"`
	Zone       string   `json:"yard"`
	OneZone    bool     `json:"one_zone"`
	Spread     bool     `json:"spread"`
	Spot       bool     `json:"loaners"`
	EstimateS  float64  `json:"guess_s"`
	SaveEveryS float64  `json:"snap_every_s"`
	SaveS      float64  `json:"snap_s"`
	DueS       *float64 `json:"due_s"`
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
	if RankLevel(j.Rank) < 0 {
		return fmt.Errorf("field rank: %q is not known", j.Rank)
	}
	if j.Tasks < 1 || j.Tasks > MaxTasks {
		return fmt.Errorf("field shards must be 1 to %d", MaxTasks)
	}
	for _, f := range []struct {
		name string
		v    float64
	}{{"cpus", j.CPUs}, {"accelerators", j.GPUs}, {"mem_gb", j.MemGB}, {"size_gb", j.ImageGB},
		{"guess_s", j.EstimateS}, {"snap_every_s", j.SaveEveryS}, {"snap_s", j.SaveS}} {
		if math.IsNaN(f.v) || f.v < 0 || f.v > 1e9 {
			return fmt.Errorf("field %s is out of range", f.name)
		}
	}
	if j.DueS != nil && (*j.DueS < 0 || *j.DueS > 1e9) {
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
	Error   string `json:"error"`
	Steward string `json:"steward,omitempty"`
}

// TaskReport is one task in a worker's report.
type TaskReport struct {
	Task    string `json:"shard"`
	Attempt uint64 `json:"try"`
	Phase   string `json:"phase"`
	Cause   string `json:"cause,omitempty"`
	Saved   bool   `json:"stored,omitempty"`
}

// Report is what a worker says of itself.
type Report struct {
	Machine string       `json:"host"`
	Addr    string       `json:"addr"`
	Type    string       `json:"hull"`
	Zone    string       `json:"yard"`
	Spot    bool         `json:"loaners"`
	Session uint64       `json:"tenure"`
	Tick    uint64       `json:"tick"`
	Token   uint64       `json:"epoch"`
	NoticeS *float64     `json:"recall_s"`
	Tasks   []TaskReport `json:"shards"`
}

// Order is one command to a worker.
type Order struct {
	Verb    string   `json:"verb"`
	Task    string   `json:"shard"`
	Attempt uint64   `json:"try"`
	GraceS  *float64 `json:"wind_down_s,omitempty"`
}

// ReportAnswer answers a report.
type ReportAnswer struct {
	Token  uint64  `json:"epoch"`
	Orders []Order `json:"orders"`
}

// Orders is the body of POST /orders.
type Orders struct {
	Token   uint64  `json:"epoch"`
	Session uint64  `json:"tenure"`
	Orders  []Order `json:"orders"`
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

// RentalRequest asks for machines.
type RentalRequest struct {
	Name  string `json:"hire"`
	Type  string `json:"hull"`
	Zone  string `json:"yard"`
	Spot  bool   `json:"loaners"`
	Count int    `json:"how_many"`
}

// Hosts names machines.
type Hosts struct {
	Hosts []string `json:"hosts"`
}

// Rental is one machine in the cloud's list.
type Rental struct {
	ID    string  `json:"id"`
	Addr  string  `json:"addr"`
	Type  string  `json:"hull"`
	Zone  string  `json:"yard"`
	Spot  bool    `json:"loaners"`
	Phase string  `json:"phase"`
	AgeS  float64 `json:"held_s"`
}

// Rentals is one page of the cloud's list.
type Rentals struct {
	Hosts []Rental `json:"hosts"`
	More  bool     `json:"truncated"`
}

// Item is a key of the state service.
type Item struct {
	Key   string          `json:"k"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
	Hold  uint64          `json:"hold,omitempty"`
}

// Items is one page of keys.
type Items struct {
	Items []Item `json:"items"`
	More  bool   `json:"truncated"`
	Rev   uint64 `json:"ledger_rev"`
}

// Cond is a condition of a transaction.
type Cond struct {
	Key   string `json:"k"`
	Stamp uint64 `json:"stamp"`
}

// Op is a put (Put, Value, Hold) or a drop.
type Op struct {
	Put   string `json:"put,omitempty"`
	Value any    `json:"v,omitempty"`
	Hold  uint64 `json:"hold,omitempty"`
	Drop  string `json:"drop,omitempty"`
}

// Multi is a transaction.
type Multi struct {
	When []Cond `json:"when"`
	Then []Op   `json:"then"`
}

// MultiAnswer answers a transaction.
type MultiAnswer struct {
	Rev    uint64   `json:"ledger_rev"`
	Failed []string `json:"failed"`
}

// Change is one entry of the change log.
type Change struct {
	Put   string          `json:"put"`
	Drop  string          `json:"drop"`
	Value json.RawMessage `json:"v"`
	Stamp uint64          `json:"stamp"`
}

// Changes answers a watch.
type Changes struct {
	Rev uint64   `json:"ledger_rev"`
	Log []Change `json:"log"`
}

// HoldAnswer answers the making of a hold.
type HoldAnswer struct {
	Hold uint64 `json:"hold"`
}
