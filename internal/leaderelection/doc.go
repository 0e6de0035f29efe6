// Package leaderelection decides which controller acts for what: one mechanism for machine partitions, teams and the fleet. A
// leadership is a key of the key-value store that names its leader, the leader's incarnation and a term; it is acquired, and given
// up, by a conditional write.
//
// Election is the decision: plain code on what the replica has shown, without I/O and without a clock of its own. Elector is the
// I/O around it: it holds the lock, keeps this process's incarnation registered under a controller lease, and carries out the
// writes that Election decides on. All other packages ask Elector.Leading before each action, and again when it is about to be sent.
//
// # An incarnation
//
// An incarnation is one registration of one process. What a process may do under it:
//
//	                 Elector.register: ml/n/HOST written, attached to a new lease
//	+--------------+                                            +---------------------------------------+
//	| unregistered | -----------------------------------------> | lease valid                           | <--+
//	| (no          |                                            | may act, but leads nothing yet        |    |
//	| incarnation) |                                            +---------------------------------------+    |
//	+--------------+                                                        | the replica shows ml/n/HOST    |
//	       ^                                                                v                                |
//	       |                                                    +---------------------------------------+    |
//	       |                                                    | registered, lease valid               |    | a renewal that was
//	       |                                                    | campaigns, transfers, acts as leader; | <--+ under way succeeds:
//	       |                                                    | each renewal: Election.ExtendLease    |    | Election.ExtendLease
//	       |                                                    +---------------------------------------+    |
//	       |                                                      |     | own clock: last confirmed renewal   |
//	       |                                                      |     | was sent TTL less drift and margin  |
//	       |                store dropped the lease;              |     | ago                                 |
//	       |                store unreachable, a peer reaches it  |     v                                     |
//	+--------------+ <--------------------------------------------+  +----------------------------------+     |
//	| resigned     |                                                 | lease expired: acts on nothing   | ----+
//	| for good     | <---------------------------------------------- |                                  |
//	+--------------+    next pass of Elector.Run                     +----------------------------------+
//
// A resigned incarnation is never used again: the process registers a new one, whose leaderships have higher terms.
//
// # What a leadership starts and stops
//
// Each part of a controller compares Elector.Leading with what it holds, after each event about leaderships and at a timer
// (docs/architecture.md, "A failover"). This package starts and stops nothing by itself.
//
//	duty       key               on acquiring                               on losing
//	partition  ml/c/part-NNN     State.AcquirePartition: recorded machines  State.ReleasePartition: machines, tasks and
//	                             are unaccounted, get empty commands under  resource leases are dropped; heartbeats get 421
//	                             the new fencing token; heartbeats are      or 503, batches are rejected, no delivery is sent
//	                             answered, batches taken
//	team       ml/c/team-NAME    Scheduler.AcquireTeam: cached active jobs  Scheduler.ReleaseTeam: jobs and assignments are
//	                             are queued; all partition leaders polled,  dropped; a write under way fails on the
//	                             which fences former leaders of the team    leadership's condition
//	fleet      ml/c/fleet        Autoscaler.Run reads catalog and instance  both loops do nothing; no request is sent under
//	                             list before it decides; RunZones goes on   the old term
//	                             from the zone records
//
// # Invariants
//
// Numbers are those of docs/design.md, "Why the rules hold".
//
//   - At most one controller acts on a leadership at any time. A leader acts only while its lease is valid by its own steady clock,
//     and no other can acquire the leadership before the store has dropped the leader's registration, which outlasts that
//     ("Leadership"). The one exception is decided by the leader: it stops acting, for good, and then says so (Elector.ObservePeer,
//     Election.TransferLeadership).
//   - A leadership takes effect when the replica shows it, so that its leader knows every record written before (5, 6, 7).
//   - Terms only grow, over all leaderships, also of duties that no longer exist; fencing tokens (1), attempts (3) and the fences of
//     team leaders (7) rest on that.
//   - A leadership that is being transferred is not acted on, whatever becomes of the write that frees it ("Late writes").
//   - Every write is conditional on the mod revision of what it replaces, so that a late copy fails ("Late writes"); a leadership is
//     written on the condition of one's own registration as well.
//   - An outage of the store that is shorter than the lease ends no leadership (14); one that all controllers share makes none of
//     them resign before its lease expires.
package leaderelection
