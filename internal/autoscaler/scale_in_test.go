package autoscaler

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// An instance that is on the list without a request of this leader, such as one requested in an earlier term, is returned
// once it is idle, but only after its partition leader has drained it.
func TestUnexpectedInstanceIsReturnedOnceDrained(t *testing.T) {
	s := newScenario(t)
	s.cloud.withLock(func() {
		s.cloud.instances = []wire.Instance{{ID: "m-7", Type: "big", Zone: "a", Phase: wire.MachineRunning, AgeS: 500}}
	})
	s.controllers.views = []peer.MachineView{{ID: "m-7", Type: "big", Zone: "a", Accounted: true, Usable: true, Idle: 90 * sec}}
	s.step(t)
	s.cloud.withLock(func() { require.Empty(t, s.cloud.returned, "the partition leader has not drained the machine yet") })
	s.controllers.drained = []string{"m-7"}
	s.step(t)
	s.cloud.withLock(func() { require.Equal(t, []string{"m-7"}, s.cloud.returned) })
	require.Equal(t, []string{"m-7"}, s.controllers.gone)
}
