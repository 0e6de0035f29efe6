// Package peer is the protocol between controllers: its messages, and the net/rpc client and server that
// carry them.
//
// Service lists the methods that every controller offers. The messages stand by concern: heartbeats
// (heartbeat.go), assignments (batches.go), views of machines (polls.go), users' requests (jobs.go),
// scaling (scaling.go) and operators' questions (operators.go). Client calls one peer, Serve answers
// peers, and CollectPages reads a poll's response page by page. The package decides nothing about tasks.
//
// # Encoded form
//
// gob and net/rpc carry the names of fields, of methods and of the service as they stand in the Go code.
// Controllers of two releases work together while they are restarted one by one, so these names, the
// fields' types and their order stay as they are, also where they differ from the glossary's terms;
// internal/golden holds the encoded form against the releases in use. Names of types may change. A new
// field is added at the end, and its zero value must mean what its absence meant.
//
// What the names mean in the terms of docs/glossary.md:
//
//   - Methods: Round sends a batch, Hello a heartbeat, Withdraw a cancellation, Gone the machines that are
//     gone for certain.
//   - Asks are assignments, Settles acknowledgements; Refused is rejected, Yielded rejected in favour of
//     another team.
//   - Part and Parts are partitions, Term and Terms the terms of their leaderships or of the teams'.
//   - Rank is the priority level, Need the resource request of one task, Made the mod revision of the job's
//     record, Covered within the team's guarantee, Over with the right to preempt the same or a higher
//     priority.
//   - Sick is quarantined, Noticed under an eviction notice, Unheard with missed heartbeats, Unsettled
//     unaccounted, Strays misdirected machines, Contact the time since the controller lease was confirmed.
//   - Hold and Held, of an assignment or a task, are a held resource lease; Held, of a zone, is a return
//     that an operator has stopped. Holder is the leader, Most a maximum.
package peer
