package peer

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Heartbeat is both the request and the response of the method Hello, which every controller calls once a second for
// each of its peers. It is also the request of the method Demand. Of a request only From is read; Strays, Machines and
// Unheard are set in responses only.
type Heartbeat struct {
	// Contact is the time since the key-value store last confirmed the sender's controller lease. A
	// controller that can't reach the store learns from it which peers can.
	Contact clock.Micros
	// Resigned is the sender's last incarnation that gave up its leaderships, "" if there is none. The
	// caller removes its registration, so that others can lead before its lease has expired.
	Resigned string
	From     string // host of the sender
	// Strays counts the misdirected machines: those in the caller's partitions whose workers recently sent
	// their heartbeats to the responder.
	Strays   int
	Machines int // number of machines in the responder's partitions
	Unheard  int // number of those that have missed heartbeats
}
