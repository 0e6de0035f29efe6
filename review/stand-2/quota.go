package main

import (
	"fmt"
	"time"
)

// cardwren returns a deployment like cardwren-batch, with limits of CPUs by team.
func cardwren(limit float64) deployment {
	zone := "scot-north"
	return deployment{
		zones: []string{zone, zone, zone},
		teams: []team{{Name: "learning-science", CPUsMax: limit}, {Name: "content-ops"}, {Name: "app-platform"}},
		objectives: []map[string]any{
			{"kind": "deadline", "class": "deck-rebuild", "share": 0.9, "times": 1.0},
			{"kind": "wait", "class": "recall-refit", "within_s": 2.0, "share": 0.92},
			{"kind": "wait", "class": "recall-refit", "within_s": 12.0, "share": 0.97},
			{"kind": "finished", "class": "recall-refit", "within_s": 70.0, "share": 0.96},
		},
		types: []machineType{
			{Name: "thistle-32", CPUs: 32, MemGB: 64, CacheGB: 70, FetchRate: 0.8, Price: 1.18, LowPrice: 0.26, ReadyS: 30, Yards: []string{zone}},
			{Name: "heather-64", CPUs: 64, MemGB: 256, CacheGB: 50, FetchRate: 0.6, Price: 2.58, LowPrice: 0.62, ReadyS: 50, Yards: []string{zone}},
		},
		leaseS: 27, reportS: 3, cancelS: 47, stateRPS: 120, stateWrite: 25, cloudRPS: 5,
		limits: map[string]any{"core_share": 0.12, "memory_mb": 342.0, "fd_limit": 3000},
	}
}

// deck returns a job of the class deck-rebuild.
func deck(id string, shards int, runS float64, hulls ...string) *jobSpec {
	return &jobSpec{ID: id, Class: "deck-rebuild", Owner: "learning-science", Shape: "array", Rank: "normal", Shards: shards,
		CPUs: 32, MemGB: 38, Bundle: "img-01", SizeGB: 1, Hulls: hulls, Loaners: true, GuessS: runS, RunS: runS}
}

// runQuota shows what a team's tasks use when all controllers crash while the team is at its limit, one of them is back within a
// fraction of a second, and the largest machine is in a partition of one that is back after about 3 s.
func runQuota(root, folder string, trouble bool) (int, error) {
	const limit = 96
	c, err := newCluster(root, folder, cardwren(limit))
	if err != nil {
		return 2, err
	}
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return c.giveUp(err)
		}
	}
	c.watchReady()
	// By the hash of its name, m-000007 is in a partition of latchhost-2, the others are in those of latchhost-0.
	c.addMachine("m-000001", "thistle-32", "scot-north")
	c.addMachine("m-000004", "thistle-32", "scot-north")
	c.addMachine("m-000010", "thistle-32", "scot-north")
	c.addMachine("m-000007", "heather-64", "scot-north")
	if err := c.awaitReady(30 * time.Second); err != nil {
		return c.giveUp(err)
	}
	time.Sleep(5 * time.Second)
	// The team uses its whole limit: 64 CPUs on the large machine, 32 on a small one.
	if !c.submit(deck("job-000101", 2, 75, "heather-64"), 0) || !c.submit(deck("job-000102", 1, 75, "thistle-32"), 0) {
		return c.giveUp(fmt.Errorf("the first jobs were not accepted"))
	}
	for deadline := time.Now().Add(20 * time.Second); len(c.present()) < 3; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return c.giveUp(fmt.Errorf("the first jobs do not run"))
		}
	}
	time.Sleep(5 * time.Second)
	if trouble {
		for i := range c.nodes {
			c.kill(i)
		}
		crashed := time.Now()
		for i, after := range []time.Duration{400 * time.Millisecond, 3 * time.Second, 3 * time.Second} {
			go func() {
				time.Sleep(time.Until(crashed.Add(after)))
				if err := c.start(i); err != nil {
					c.log("start failed: %v", err)
				}
			}()
		}
	}
	go c.submit(deck("job-000103", 1, 20, "thistle-32"), 0)
	if c.watchLimit("learning-science", limit, 30*time.Second) {
		c.log("the team is within its limit")
	}
	return c.stop(), nil
}

// watchLimit checks for a time that the tasks of a team that are on machines use no more CPUs than its limit.
func (c *cluster) watchLimit(team string, limit float64, d time.Duration) bool {
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(10 * time.Millisecond) {
		used, tasks := 0.0, []string{}
		for _, i := range c.present() {
			if i.job.Owner == team {
				used += i.job.CPUs
				tasks = append(tasks, i.shard+" on "+i.machine)
			}
		}
		if used > limit {
			c.fail("quota: the tasks of %s use %g CPUs, its cpus_max is %g: %v", team, used, limit, tasks)
			return false
		}
	}
	return true
}
