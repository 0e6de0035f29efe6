package controller

import (
	"encoding/json"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/wire"
)

// leaderships lists all leaderships as the state service has them.
func (c *cluster) leaderships() map[string]leaderelection.Record {
	out := map[string]leaderelection.Record{}
	items, _, err := c.directClient().List(c.t.Context(), kvstore.LeaderPrefix)
	if err != nil {
		return out // in an outage
	}
	for _, it := range items {
		var r leaderelection.Record
		require.NoError(c.t, json.Unmarshal(it.Value, &r))
		out[strings.TrimPrefix(it.Key, kvstore.LeaderPrefix)] = r
	}
	return out
}

// leadershipsMoved counts the claims that have a new holder since.
func (c *cluster) leadershipsMoved(before map[string]leaderelection.Record) (n int) {
	for duty, r := range c.leaderships() {
		if r.Term > before[duty].Term {
			n++
		}
	}
	return n
}

// unlimitedTeamLeader is who places the jobs of the team blue.
func (c *cluster) unlimitedTeamLeader() string { return c.teamLeader("blue") }

func (c *cluster) teamLeader(team string) string {
	h, ok := c.leaderships()[scheduler.Duty(team)]
	require.True(c.t, ok)
	return h.Leader
}

// recordedMachines lists the machines on record in the state service.
func (c *cluster) recordedMachines() map[string]bool {
	out := map[string]bool{}
	items, _, err := c.directClient().List(c.t.Context(), kvstore.MachinePrefix)
	require.NoError(c.t, err)
	for _, it := range items {
		var g inventory.Group
		require.NoError(c.t, json.Unmarshal(it.Value, &g))
		for id := range g {
			out[id] = true
		}
	}
	return out
}

// writtenKeys lists the keys that a transaction writes.
func writtenKeys(m wire.Txn) string {
	var keys []string
	for _, op := range m.Operations {
		keys = append(keys, op.Put)
	}
	return strings.Join(keys, " ")
}

// writtenText is what a transaction writes, as text.
func writtenText(m wire.Txn) string {
	b, err := json.Marshal(m.Operations)
	if err != nil {
		return ""
	}
	return string(b)
}
