// Package wire holds the formats that merlinlatch speaks with users (users.go, parse.go), workers
// (workers.go), the cloud (cloud.go) and the key-value store (store.go): paths, constants and JSON bodies.
// Clients may use it too. It does no I/O.
//
// Go names are in the terms of docs/glossary.md; the names in the tags, the order of the fields and the
// values of the constants are formats that others rely on, and never change. internal/golden holds them.
//
// Durations are in seconds where a name ends in S, in milliseconds where it ends in MS. Amounts of CPUs,
// GPUs and GB may have fractions. A pointer is nil where the field may be null. Receivers ignore fields that
// they don't know.
package wire

// MaxBody is the largest body of a request, in bytes, on all interfaces.
const MaxBody = 64 << 10
