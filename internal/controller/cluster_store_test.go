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

// directClient returns a client of the key-value store that is not affected by faults of controllers.
func (c *cluster) directClient() *fakes.KVClient { return &fakes.KVClient{KVStore: c.store} }

// leaderships returns the leaderships in the key-value store, by duty. It returns none during an outage of the store.
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

// leadershipsMoved counts the leaderships that now have a higher term than before.
func (c *cluster) leadershipsMoved(before map[string]leaderelection.Record) (n int) {
	for duty, r := range c.leaderships() {
		if r.Term > before[duty].Term {
			n++
		}
	}
	return n
}

// unlimitedTeamLeader returns the host of the controller that leads unlimitedTeam.
func (c *cluster) unlimitedTeamLeader() string { return c.teamLeader(unlimitedTeam) }

// teamLeader returns the host of the controller that leads a team according to the key-value store.
func (c *cluster) teamLeader(team string) string {
	r, ok := c.leaderships()[scheduler.TeamDuty(team)]
	require.True(c.t, ok)
	return r.Leader
}

// unlimitedTeamTerm returns the term of the leadership of unlimitedTeam.
func (c *cluster) unlimitedTeamTerm() uint64 {
	return c.leaderships()[scheduler.TeamDuty(unlimitedTeam)].Term
}

// recordedMachines returns the machines that have a record in the key-value store.
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

// writtenKeys returns the keys that a transaction writes, separated by spaces.
func writtenKeys(m wire.Txn) string {
	var keys []string
	for _, op := range m.Operations {
		keys = append(keys, op.Put)
	}
	return strings.Join(keys, " ")
}

// writesTo reports whether a transaction writes a key that contains the prefix.
func writesTo(m wire.Txn, prefix string) bool { return strings.Contains(writtenKeys(m), prefix) }

// writtenText returns the operations of a transaction as JSON text.
func writtenText(m wire.Txn) string {
	b, err := json.Marshal(m.Operations)
	if err != nil {
		return ""
	}
	return string(b)
}
