package main

import (
	"fmt"
	"time"
)

// lonestar returns a deployment like lonestar-settle.
func lonestar() deployment {
	zones := []string{"tx-central", "tx-gulf", "tx-central"}
	d := deployment{
		zones: zones,
		objectives: []map[string]any{
			{"kind": "deadline", "class": "recon-sweep", "share": 0.88, "times": 1.0},
			{"kind": "deadline", "class": "fraud-rescore", "share": 0.9, "times": 1.0},
			{"kind": "wait", "class": "fraud-rescore", "within_s": 4.0, "share": 0.85},
			{"kind": "guarantee", "within_s": 5.0, "share": 0.85},
		},
		types: []machineType{{Name: "bluebonnet-32", CPUs: 32, MemGB: 128, CacheGB: 25, FetchRate: 0.25, Price: 1.27, LowPrice: 0.4,
			ReadyS: 30, Yards: zones[:2]}},
		leaseS: 16, reportS: 2, cancelS: 36, stateRPS: 150, stateWrite: 60, cloudRPS: 3,
		limits: map[string]any{"core_share": 0.18, "memory_mb": 125.0, "fd_limit": 1200},
	}
	for i := range 8 {
		d.teams = append(d.teams, team{Name: fmt.Sprintf("settlement-eng-%d", i), CPUs: 96, CPUsMax: 328})
	}
	return d
}

// runFaulty shows what becomes of a job whose first machine fails every task that it starts. The cloud has 14 machines to give, and
// all but the first one are sound.
func runFaulty(root, folder string, trouble bool) (int, error) {
	c, err := newCluster(root, folder, lonestar())
	if err != nil {
		return 2, err
	}
	c.rentals = capacity{machines: 14, boot: 2 * time.Second, onRent: func(w *worker, n int) {
		if trouble && n == 1 {
			w.faulty = true
			c.log("%s fails every task that it starts", w.id)
		}
	}}
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return c.giveUp(err)
		}
	}
	c.watchReady()
	if err := c.awaitReady(30 * time.Second); err != nil {
		return c.giveUp(err)
	}
	time.Sleep(3 * time.Second)
	due := 1.5*15 + 12
	j := &jobSpec{ID: "job-000401", Class: "fraud-rescore", Owner: "settlement-eng-0", Shape: "array", Rank: "high", Shards: 16,
		CPUs: 2, MemGB: 6, Bundle: "img-01", SizeGB: 0.5, Loaners: true, GuessS: 15, DueS: &due, RunS: 15}
	if !c.submit(j, 0) {
		return c.giveUp(fmt.Errorf("the job was not accepted"))
	}
	phase := ""
	for begin, node := time.Now(), 0; time.Since(begin) < 95*time.Second && phase != "done"; node = (node + 1) % 3 {
		time.Sleep(5 * time.Second)
		_, phase, _ = c.poll(j.ID, node)
	}
	starts, completed := c.countAttempts(j.ID)
	c.mu.Lock()
	up, idle := 0, time.Since(c.lastRental).Seconds()
	for _, m := range c.machines {
		if !m.gone {
			up++
		}
	}
	c.mu.Unlock()
	if phase != "done" {
		c.fail("accepted job must run: %s is not done after 95 s: 16 tasks of 15 s were started %d times, %d were completed; "+
			"%d machines are rented, the last rental was %.0f s ago, the cloud has %d more machines",
			j.ID, starts, completed, up, idle, c.rentals.machines)
	}
	return c.stop(), nil
}
