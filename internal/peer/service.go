package peer

import "github.com/merlinlatch/merlinlatch/internal/history"

// serviceName is the service's name in net/rpc. Every call transmits it in front of the method's name, so it
// is part of the encoded form and never changes.
const serviceName = "Merlinlatch"

// Service lists the methods that every controller offers to its peers and to the operators' commands. The
// methods' names are part of the encoded form. All methods may be called concurrently. A call may arrive
// late or more than once, and its handler must tolerate that; only Batch carries a number by which its
// receiver recognizes copies.
type Service interface {
	// Round sends a scheduler's batch of assignments and commands to a partition leader.
	Round(in Batch, out *BatchResponse) error
	// Poll returns the machines of a partition leader that changed after a cursor. If none has, it waits for a change.
	Poll(in PollRequest, out *PollResponse) error
	// Hello sends a heartbeat to a peer and returns the peer's own.
	Hello(in Heartbeat, out *Heartbeat) error
	// Demand returns the waiting tasks of the teams that a scheduler leads, for the autoscaler.
	Demand(in Heartbeat, out *DemandResponse) error
	// Status returns the state of a job, as the scheduler of its team knows it.
	Status(in JobRequest, out *JobResponse) error
	// Withdraw asks the scheduler of a job's team to cancel the job.
	Withdraw(in JobRequest, out *JobResponse) error
	// Submit forwards a user's submission to a controller that can reach the key-value store.
	Submit(in SubmitRequest, out *SubmitResponse) error
	// Drain asks a partition leader to drain machines for a scale-in, and returns those that are drained.
	Drain(in DrainRequest, out *DrainResponse) error
	// Gone tells a partition leader on which machines certainly nothing runs any more. Its response is empty.
	Gone(in MachinesGone, out *DrainResponse) error
	// Teams returns the state of the teams, as one controller knows it.
	Teams(in TeamsRequest, out *TeamsResponse) error
	// Zones returns the state of the zones, as one controller knows it.
	Zones(in ZonesRequest, out *ZonesResponse) error
	// HoldZone holds the return of a zone at its present stage, or resumes it.
	HoldZone(in ZoneHoldRequest, out *ZoneHoldResponse) error
	// History returns a part of the controller's history of events.
	History(in HistoryRequest, out *history.Page) error
}
