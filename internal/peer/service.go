package peer

import "github.com/merlinlatch/merlinlatch/internal/history"

// serviceName is the name that net/rpc carries in each call, before the method's. It is part of the
// encoded form.
const serviceName = "Merlinlatch"

// Service is what every controller offers to its peers and to the operators' commands. The methods' names
// are part of the encoded form. All may be called concurrently; a call may be repeated, or arrive late,
// unless its message says how copies are told apart.
type Service interface {
	// Round gives a batch to a partition leader.
	Round(in Batch, out *BatchResponse) error
	// Poll waits for changed machines of a partition leader.
	Poll(in PollRequest, out *PollResponse) error
	// Hello exchanges heartbeats.
	Hello(in Heartbeat, out *Heartbeat) error
	// Demand asks a scheduler what waits.
	Demand(in Heartbeat, out *DemandResponse) error
	// Status asks a scheduler for the state of a job.
	Status(in JobRequest, out *JobResponse) error
	// Withdraw asks a scheduler to cancel a job.
	Withdraw(in JobRequest, out *JobResponse) error
	// Submit forwards a submission to a controller with contact to the key-value store.
	Submit(in SubmitRequest, out *SubmitResponse) error
	// Drain asks a partition leader to drain machines.
	Drain(in DrainRequest, out *DrainResponse) error
	// Gone names machines to a partition leader that are gone for certain; its response is empty.
	Gone(in MachinesGone, out *DrainResponse) error
	// Teams asks for the state of the teams.
	Teams(in TeamsRequest, out *TeamsResponse) error
	// Zones asks for the state of the zones.
	Zones(in ZonesRequest, out *ZonesResponse) error
	// HoldZone stops or resumes the return of a zone.
	HoldZone(in ZoneHoldRequest, out *ZoneHoldResponse) error
	// History reads a part of the controller's history.
	History(in HistoryRequest, out *history.Page) error
}
