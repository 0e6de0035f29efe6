package main

import (
	"fmt"
	"time"
)

// runFilter shows what users are told while a packet filter lies between two controllers that reach all else: one leads the team,
// the other one the partition of the machine on which the team's tasks run.
func runFilter(root, folder string, trouble bool) (int, error) {
	c, err := newCluster(root, folder, cardwren(0))
	if err != nil {
		return 2, err
	}
	for i := range c.nodes {
		if err := c.start(i); err != nil {
			return c.giveUp(err)
		}
	}
	c.watchReady()
	// By the hash of its name, m-000007 is in a partition of latchhost-2. latchhost-0 leads the team learning-science.
	c.addMachine("m-000001", "thistle-32", "scot-north")
	c.addMachine("m-000007", "heather-64", "scot-north")
	if err := c.awaitReady(30 * time.Second); err != nil {
		return c.giveUp(err)
	}
	time.Sleep(5 * time.Second)
	short, long := deck("job-000301", 1, 12, "heather-64"), deck("job-000302", 1, 110, "heather-64")
	if !c.submit(short, 0) || !c.submit(long, 1) {
		return c.giveUp(fmt.Errorf("the jobs were not accepted"))
	}
	for deadline := time.Now().Add(20 * time.Second); len(c.present()) < 2; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(deadline) {
			return c.giveUp(fmt.Errorf("the jobs do not run"))
		}
	}
	time.Sleep(3 * time.Second)
	if trouble {
		c.log("a packet filter between latchhost-0 and latchhost-2 refuses their connections from now on")
		c.links[[2]int{0, 2}].block(true)
		c.links[[2]int{2, 0}].block(true)
	}
	time.Sleep(3 * time.Second)
	cancelled := make(chan bool)
	begin := time.Now()
	go func() {
		for node := 0; time.Since(begin) < 85*time.Second; node = (node + 1) % 3 {
			if status, phase := c.withdraw(long.ID, node); status == 200 && (phase == "cancelled" || phase == "done") {
				cancelled <- true
				return
			}
			time.Sleep(2 * time.Second)
		}
		cancelled <- false
	}()
	var completedAt time.Time
	done := false
	for node := 0; time.Since(begin) < 85*time.Second && !done; node = (node + 1) % 3 {
		if _, completed := c.countAttempts(short.ID); completed == 1 && completedAt.IsZero() {
			completedAt = time.Now()
		}
		_, phase, _ := c.poll(short.ID, node)
		done = phase == "done"
		time.Sleep(2 * time.Second)
	}
	if completedAt.IsZero() {
		return c.giveUp(fmt.Errorf("the short task did not complete"))
	}
	if !done {
		c.fail("done: the last task of %s completed %.0f s ago, and no node has told its user so", short.ID, time.Since(completedAt).Seconds())
	}
	if !<-cancelled {
		c.fail("withdraw: %s was cancelled 85 s ago, the request was repeated every 2 s, and no node has answered it", long.ID)
	}
	return c.stop(), nil
}
