// Package kvstore speaks with the key-value store, the one durable thing that controllers share.
//
// Client sends requests and keeps to this controller's part of the request budget (budget.go); PriorityClient and UserClient are
// the same client with other parts of the budget. Replica follows all keys by a watch and notifies one listener of every change,
// in order. All of it is I/O: what is written, and on which conditions, is decided by the callers.
//
// Invariants:
//
//   - An error tells what it proves. ErrRefused: surely not executed. ErrConflict: a condition did not hold, nothing was written.
//     ErrOutcomeUnknown: the request may have been executed, or may yet be, seconds or minutes later; callers make such late
//     writes harmless by their conditions (docs/design.md, "Late writes").
//   - A lease renewal never waits for the budget (docs/design.md, "Request budget" and "Paused processes").
//   - Replica notifies its listener of no older value of a key after a newer one, and whatever a watch repeats or no longer has,
//     the listener ends up with what the store holds. A leadership takes effect when the replica shows it, so that all records
//     written before it have been applied (docs/design.md, "Leadership").
package kvstore
