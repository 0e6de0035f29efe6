// Package peer defines the protocol between controllers: the messages, and the net/rpc client and server
// that carry them.
//
// Service lists the methods that every controller offers. The messages are grouped by concern: heartbeats
// (heartbeat.go), assignments (batches.go), views of machines (polls.go), users' requests (jobs.go),
// scaling (scaling.go) and operators' commands (operators.go). Client calls one peer, Serve answers
// peers, and CollectPages reads the response to a poll page by page. The package carries decisions about
// tasks and makes none.
//
// A controller has two main roles. As a scheduler it assigns the tasks of the teams that it leads. As a
// partition leader it leases the resources of the machines in its partitions and sends commands to their
// workers. Most messages go from a scheduler to a partition leader.
//
// The clocks of two controllers are not compared, so messages carry ages and spans (clock.Micros, in
// microseconds) and no points in time. The exception is ZoneStatus.AtMS, which is only displayed.
//
// # Encoded form
//
// gob and net/rpc transmit the names of fields, methods and the service as the Go code spells them.
// Controllers of two releases work together while they are restarted one by one, so these names, the
// fields' types and their order never change, not even where they differ from the terms of the glossary.
// The tests in internal/golden compare the encoded form with that of the releases in use. Names of types
// may change. A new field is added at the end, and its zero value must have the same effect as its absence,
// since an older release does not send it.
//
// What the names mean in the terms of docs/glossary.md:
//
//   - Methods: Round sends a batch, Hello a heartbeat, Withdraw a cancellation, and Gone a list of machines
//     on which certainly nothing runs any more.
//   - Asks are assignments and Settles are acknowledgements. Refused means rejected, and Yielded means
//     rejected in favour of another team.
//   - Part is a partition and Parts are partitions. Term and Terms are the terms of partition leaderships or
//     of team leaderships, as the comment at each field says.
//   - Rank is the priority level, Need the resource request of one task, and Made the mod revision of the
//     job's record. Covered means within the team's guarantee. Over permits preemption of tasks with the
//     same or a higher priority.
//   - Sick means quarantined, Noticed under an eviction notice, Unheard with missed heartbeats, and
//     Unsettled unaccounted. Strays counts misdirected machines. Contact is the time since the key-value
//     store last confirmed the controller lease.
//   - Hold and Held of an assignment or a task refer to a held resource lease, which keeps resources for a
//     task that is to move to the machine. Held of a zone means that an operator holds its return at the present
//     stage.
//     Holder is the leader, and Most is a maximum.
package peer
