// Package leaderelection decides which controller leads each duty: a machine partition, a team or the fleet. One mechanism
// serves all three. A leadership is a key of the key-value store that names its leader, the leader's incarnation and a term.
// Controllers acquire and release leaderships by conditional writes.
//
// Election makes the decisions from the state that the replica has shown. It does no I/O and reads no clock. Elector does the
// I/O: it guards Election by a lock, keeps this process's incarnation registered under a controller lease, and sends the writes
// that Election decides on. The packages that act for a leader call Elector.Leading before an action, and again right before
// the action is sent.
//
// # An incarnation
//
// An incarnation is one registration of one process. Its states, and what the process may do in each:
//
//	                 Elector.register: ml/n/HOST written, attached to a new lease
//	+--------------+                                            +---------------------------------------+
//	| unregistered | -----------------------------------------> | lease valid                           |
//	| (no          |                                            | may act, but leads nothing yet        |
//	| incarnation) |                                            +---------------------------------------+
//	+--------------+                                                        | the replica shows ml/n/HOST
//	       ^                                                                v
//	       |                                                    +---------------------------------------+
//	       |                                                    | registered, lease valid               |
//	       |                                                    | campaigns, transfers, acts as leader; |
//	       |                                                    | each renewal: Election.ExtendLease    |
//	       |                                                    +---------------------------------------+
//	       |                                                      |     | own clock: last confirmed renewal
//	       |                                                      |     | was sent TTL less drift and margin
//	       |                store dropped the lease;              |     | ago
//	       |                store unreachable, a peer reaches it  |     v
//	+--------------+ <--------------------------------------------+  +----------------------------------+
//	| resigned     |                                                 | lease expired: acts on nothing   |
//	| for good     | <---------------------------------------------- |                                  |
//	+--------------+    next pass of Elector.Run, or the end of a    +----------------------------------+
//	                    renewal under way, whether it succeeds or not
//
// An expired lease never becomes valid again, although the store may keep it for longer and confirm a renewal that was under way.
// A resigned incarnation is never used again. The process registers a new one, whose leaderships have higher terms.
//
// # What a leadership starts and stops
//
// Each part of a controller compares Elector.Leading with the duties that it serves, after each leadership event and at each
// tick of a timer (docs/architecture.md, "A failover"), and starts or stops work as follows. This package starts and stops
// nothing itself.
//
//	duty       key               on acquiring                               on losing
//	partition  ml/c/part-NNN     State.AcquirePartition: recorded machines  State.ReleasePartition: machines, tasks and
//	                             are unaccounted, get empty commands under  resource leases are dropped; heartbeats get 421
//	                             the new fencing token; heartbeats are      or 503, batches are rejected, no delivery is sent
//	                             answered, batches accepted
//	team       ml/c/team-NAME    Scheduler.AcquireTeam: cached active jobs  Scheduler.ReleaseTeam: jobs and assignments are
//	                             are queued; all partition leaders polled,  dropped; a write under way fails on the
//	                             which fences former leaders of the team    leadership's condition
//	fleet      ml/c/fleet        Autoscaler.Run reads catalog and instance  both loops do nothing; no request is sent under
//	                             list before it decides; RunZones resumes   the old term
//	                             from the zone records
//
// # Invariants
//
// Numbers refer to docs/design.md, "Why the rules hold"; titles in quotation marks are sections of that page.
//
//   - At most one controller acts on a leadership at any time ("Leadership"). A leader acts only while its lease is valid by
//     its own monotonic clock, and no other controller can acquire the leadership before the store has dropped the leader's
//     registration, which lasts longer than that. The one exception is a leader that resigns or transfers the leadership: it
//     stops acting on it for good, and only then lets another acquire it (Elector.RecordPeerContact,
//     Election.TransferLeadership). A new process of a controller replaces the registration of the former one, which has
//     normally ended, at once.
//   - A leadership that was lost is never held again under the same term, since the parts of the controller start the work of a
//     term anew when they acquire it: fencing tokens (1) and attempt numbers (3) would repeat, and tasks that the same process
//     has assigned would not count as those of a former leader (7). An expired lease is therefore final (Election.ExtendLease),
//     as are a resignation and a transfer.
//   - A leadership takes effect only when the replica shows it, so that the new leader has applied every record written before
//     it (5, 6, 7).
//   - Terms grow over all leaderships, including those of duties that no longer exist. Fencing tokens (1), attempt numbers (3)
//     and the checks that reject former team leaders (7) rely on that.
//   - A controller does not act on a leadership that it is transferring, whether the write that frees it succeeds, fails or
//     gets no response: the store may carry it out late ("Late writes").
//   - Every write is conditional on the mod revision of the value that it replaces, so that a delayed copy of the write fails
//     ("Late writes"). A write that acquires a leadership is also conditional on the writer's own registration.
//   - An outage of the store ends no leadership if a renewal succeeds before the leader's lease expires (14). In an outage that
//     all controllers share, none of them resigns before its lease expires.
package leaderelection
