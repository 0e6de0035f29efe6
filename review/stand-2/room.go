package main

import (
	"fmt"
	"time"
)

// runRoom shows what becomes of a team's running tasks when the team is at its limit and a job of higher priority waits for a machine
// type that the cloud can't give at present.
func runRoom(root, folder string, trouble bool) (int, error) {
	c, err := newCluster(root, folder, cardwren(96))
	if err != nil {
		return 2, err
	}
	c.rentals = capacity{machines: 1, typ: "heather-64", boot: 2 * time.Second}
	if trouble {
		c.rentals.machines = 0
	}
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return c.giveUp(err)
		}
	}
	c.watchReady()
	c.addMachine("m-000001", "thistle-32", "scot-north")
	c.addMachine("m-000003", "thistle-32", "scot-north")
	c.addMachine("m-000007", "thistle-32", "scot-north")
	if err := c.awaitReady(30 * time.Second); err != nil {
		return c.giveUp(err)
	}
	time.Sleep(5 * time.Second)
	low := deck("job-000501", 3, 20)
	high := deck("job-000502", 75, 8, "heather-64")
	high.Class, high.Rank, high.CPUs, high.MemGB = "recall-refit", "high", 2, 2.1
	if !c.submit(low, 0) {
		return c.giveUp(fmt.Errorf("the job was not accepted"))
	}
	for deadline := time.Now().Add(20 * time.Second); len(c.present()) < 3; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return c.giveUp(fmt.Errorf("the first job does not run"))
		}
	}
	time.Sleep(2 * time.Second)
	if !c.submit(high, 0) {
		return c.giveUp(fmt.Errorf("the second job was not accepted"))
	}
	phase := ""
	for begin, node := time.Now(), 0; time.Since(begin) < 90*time.Second && phase != "done"; node = (node + 1) % 3 {
		time.Sleep(5 * time.Second)
		_, phase, _ = c.poll(low.ID, node)
		c.poll(high.ID, node)
	}
	starts, completed := c.countAttempts(low.ID)
	highStarts, _ := c.countAttempts(high.ID)
	c.log("%s: 3 tasks of 20 s, started %d times, completed %d times; tasks of %s started %d times", low.ID, starts, completed, high.ID, highStarts)
	if phase != "done" {
		c.fail("accepted job must run: %s is not done after 90 s: its 3 tasks of 20 s were started %d times, %d were completed; "+
			"tasks of %s, for which they were stopped, were started %d times", low.ID, starts, completed, high.ID, highStarts)
	}
	return c.stop(), nil
}
