package controller

import (
	"fmt"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/peer"
	"github.com/merlinlatch/merlinlatch/wire"
)

// A fleet of 4,000 machines: all are on record, their owners' answers are read in several
// pages, a controller that ends has its machines taken over, and every task runs once.
func TestAFleetOfFourThousandMachines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines, many, each = 4000, 8, 400
		c := newClusterOf(t, machines, 5)
		c.runFleet(8*time.Second, 0)
		require.Len(t, c.recorded(), machines)
		require.Greater(t, machines/len(hosts), 4*peer.PageMachines, "an answer takes several pages")
		for i := range many {
			body := strings.Replace(submission(fmt.Sprintf("job-%d", i), each), `"red"`, `"blue"`, 1)
			require.Equal(t, 201, c.do(hosts[i%3], "POST", wire.PathJobs, body).Status)
		}
		c.runFleet(8*time.Second, 0)
		require.Equal(t, many*each, c.running())
		c.crash("b")
		c.runFleet(2*time.Second, 0)
		c.start("b")
		c.runFleet(25*time.Second, 0)
		require.Equal(t, many*each, c.running(), "what ran before runs still")
		c.startedOnce()
		c.runFleet(15*time.Second, time.Second)
		for i := range many {
			require.Equal(t, wire.Done, c.phase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}
