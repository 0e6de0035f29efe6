package peer

import "github.com/merlinlatch/merlinlatch/internal/clock"

// Heartbeat is what controllers exchange once a second. The last three fields are set in responses only.
type Heartbeat struct {
	Contact  clock.Micros // time since the key-value store confirmed the sender's controller lease
	Resigned string       // the sender's last incarnation that has resigned, for its registration to be removed
	From     string       // host of the sender
	Strays   int          // misdirected machines: of the caller's partitions, with recent heartbeats to the responder
	Machines int          // machines of the responder's partitions
	Unheard  int          // how many of those have missed heartbeats
}
