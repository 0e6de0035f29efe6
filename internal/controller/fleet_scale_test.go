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
func TestFleetOf4000MachinesSurvivesFailover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const machines, many, each = 4000, 8, 400
		c := newClusterWithInterval(t, machines, 5)
		c.runFleetFor(8*time.Second, 0)
		require.Len(t, c.recordedMachines(), machines)
		require.Greater(t, machines/len(hosts), 4*peer.PageMachines, "an answer takes several pages")
		for i := range many {
			body := strings.Replace(submission(fmt.Sprintf("job-%d", i), each), `"red"`, `"blue"`, 1)
			require.Equal(t, 201, c.request(hosts[i%3], "POST", wire.PathJobs, body).Status)
		}
		c.runFleetFor(8*time.Second, 0)
		require.Equal(t, many*each, c.runningTasks())
		c.crash("b")
		c.runFleetFor(2*time.Second, 0)
		c.start("b")
		c.runFleetFor(25*time.Second, 0)
		require.Equal(t, many*each, c.runningTasks(), "what ran before runs still")
		c.requireStartedOnce()
		c.runFleetFor(15*time.Second, time.Second)
		for i := range many {
			require.Equal(t, wire.Done, c.jobPhase(hosts[i%3], fmt.Sprintf("job-%d", i)))
		}
	})
}
