// Package kvstore is the client of the key-value store, which holds all durable state that controllers share.
//
// Client sends requests and keeps to this controller's part of the request budget (budget.go). PriorityClient and UserClient
// are the same client with other parts of the budget. Replica follows all keys by a watch and notifies one listener of the
// changes, those of each key in order. The package does only I/O: its callers decide what to write, and on which conditions.
//
// Invariants:
//
//   - An error tells what is known about the request. ErrRefused: it was not executed. ErrConflict: a condition did not hold and
//     nothing was written. ErrOutcomeUnknown: it may have been executed, or may yet be, seconds or minutes later. Callers add
//     conditions that make such late writes harmless (docs/design.md, "Late writes").
//   - A lease renewal never waits for the budget, so that a spent budget ends no leadership (docs/design.md, "Request budget" and
//     "Paused processes").
//   - Replica never notifies its listener of an older value of a key after a newer one. The listener ends up with what the
//     store holds, whatever changes a watch repeats or no longer has; it may miss final states, which are only watched. A
//     leadership takes effect when the replica shows it, at which time all records written before it have been applied
//     (docs/design.md, "Leadership").
package kvstore
