package peer

import (
	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/fairshare"
	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// TaskView is an attempt as its machine's partition leader knows it.
type TaskView struct {
	ID       TaskID
	Team     string
	Rank     int               // priority level of its job
	Need     resources.Amounts // its resource request
	Phase    string            // one of wire's phases of a task; "" while no heartbeat has shown the start
	Cause    string            // one of wire's causes of an exit; "" before it
	Stopping bool              // it is to stop
	Covered  bool              // its job is within its team's guarantee
	Since    clock.Micros      // age of its resource lease when the view was made
	Held     bool              // it has a held lease, and starts by a StartTask only
}

// MachineView is a machine as its partition leader knows it. It lists those tasks that changed since the
// poll's cursor, or all of them.
type MachineView struct {
	ID        string
	Part      int    // its partition
	Term      uint64 // of the partition's leadership
	Version   uint64 // of the leader's state at the last change of the machine, within one incarnation
	Type      string // of the catalog
	Zone      string
	Spot      bool
	Cap       resources.Amounts // capacity
	Free      resources.Amounts // capacity less all attempts and leases
	Accounted bool              // no command of a former leader can change the machine; also true once it is silent
	Usable    bool              // it may get tasks
	Draining  bool
	Silent    bool // no heartbeat for a worker lease: all its tasks are gone for certain
	Overdue   bool // several heartbeats are missed
	Noticed   bool // it is under an eviction notice
	// NoticeLeft is how long the machine had, by its eviction notice, when the view was made.
	NoticeLeft clock.Micros
	Sick       bool         // quarantined
	Images     []string     // in its cache, the latest used first; none when unchanged since the poll's cursor
	Idle       clock.Micros // how long it has been without tasks
	Count      int          // number of its tasks
	Whole      bool         // Tasks lists all of them
	Tasks      []TaskView   // the oldest lease first
	Left       []TaskID     // attempts that have been removed since the poll's cursor
}

// PollRequest asks a partition leader for the machines that changed after a cursor, and waits for a change.
type PollRequest struct {
	Incarnation string            // of the leader, as the scheduler knows it; any other gets a full response
	Cursor      uint64            // of the last response; of no meaning to another incarnation
	Terms       map[string]uint64 // terms of the scheduler's teams: lower ones are rejected from now on
	Wait        clock.Micros      // at most so long
	Gen         uint64            // for the scheduler's own use: the leader does not read it
	Most        int               // maximum of machines in the response; 0: any number
	AfterID     string            // lists only machines with later ids, as the next page of a response
	// Demands is what waits of the scheduler's teams, where fair shares are on; none where the leader got it
	// a moment ago.
	Demands []fairshare.Demand
}

// PollResponse answers a poll. A machine of the partitions in Parts that a full response does not list is
// gone for certain.
type PollResponse struct {
	Incarnation string         // of the partition leader's controller
	Cursor      uint64         // version of the leader's state that the response shows
	Full        bool           // lists all machines: the request named another incarnation
	Parts       map[int]uint64 // partitions that are led, with terms
	Machines    []MachineView  // in the order of their ids
	More        bool           // machines have been left out, as Most demands
	// Capacity and Standings are the teams' shares of the leader's machines, where fair shares are on.
	Capacity  resources.Amounts
	Standings []fairshare.Standing
	Holds     bool // the leader grants held leases; earlier releases don't
}
