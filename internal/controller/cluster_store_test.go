package controller

import (
	"encoding/json"
	"strings"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/fakes"
	"github.com/merlinlatch/merlinlatch/internal/inventory"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
	"github.com/merlinlatch/merlinlatch/wire"
)

// directClient is a client of the key-value store that no controller's fault concerns.
func (c *cluster) directClient() *fakes.KVClient { return &fakes.KVClient{KVStore: c.store} }

// leaderships lists all leaderships as the key-value store has them, by duty; none in an outage.
func (c *cluster) leaderships() map[string]leaderelection.Record {
	out := map[string]leaderelection.Record{}
	items, _, err := c.directClient().List(c.t.Context(), kvstore.LeaderPrefix)
	if err != nil {
		return out
	}
	for _, it := range items {
		var r leaderelection.Record
		require.NoError(c.t, json.Unmarshal(it.Value, &r))
		out[strings.TrimPrefix(it.Key, kvstore.LeaderPrefix)] = r
	}
	return out
}

// leadershipsMoved counts the leaderships that have had a new leader since.
func (c *cluster) leadershipsMoved(before map[string]leaderelection.Record) (n int) {
	for duty, r := range c.leaderships() {
		if r.Term > before[duty].Term {
			n++
		}
	}
	return n
}

// unlimitedTeamLeader is the controller that leads the team without a limit.
func (c *cluster) unlimitedTeamLeader() string { return c.teamLeader(unlimitedTeam) }

// teamLeader is the controller that leads a team, as the key-value store says.
func (c *cluster) teamLeader(team string) string {
	r, ok := c.leaderships()[scheduler.Duty(team)]
	require.True(c.t, ok)
	return r.Leader
}

// unlimitedTeamTerm is the term of the team without a limit.
func (c *cluster) unlimitedTeamTerm() uint64 {
	return c.leaderships()[scheduler.Duty(unlimitedTeam)].Term
}

// recordedMachines lists the machines on record in the key-value store.
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

// writtenKeys lists the keys that a transaction writes, separated by spaces.
func writtenKeys(m wire.Txn) string {
	var keys []string
	for _, op := range m.Operations {
		keys = append(keys, op.Put)
	}
	return strings.Join(keys, " ")
}

// writesTo is whether a transaction writes a key with a prefix.
func writesTo(m wire.Txn, prefix string) bool { return strings.Contains(writtenKeys(m), prefix) }

// writtenText is what a transaction writes, as text.
func writtenText(m wire.Txn) string {
	b, err := json.Marshal(m.Operations)
	if err != nil {
		return ""
	}
	return string(b)
}
