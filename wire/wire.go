// Package wire defines the HTTP formats between merlinlatch and users (users.go, parse.go), workers
// (workers.go), the cloud (cloud.go) and the key-value store (store.go): paths, constants and JSON bodies.
// Clients of merlinlatch may import it. It does no I/O.
//
// The Go names use the terms of docs/glossary.md. The JSON names in the tags, the order of the fields and the
// values of the constants are formats that other programs rely on, and never change. The tests in
// internal/golden compare them with recorded files.
//
// Durations are in seconds where a name ends in S and in milliseconds where it ends in MS. Amounts of CPUs,
// GPUs and GB may have fractions. A field that may be null is a pointer, and nil stands for null. Receivers
// ignore fields that they don't know.
package wire

// MaxBody is the maximum size of a request's body in bytes, on all interfaces.
const MaxBody = 64 << 10
