package main

import (
	"fmt"
	"time"
)

// runSmall shows what becomes of a job with many small tasks, more than a worker's report can list.
func runSmall(root, folder string, trouble bool) (int, error) {
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
	c.addMachine("m-000001", "thistle-32", "scot-north")
	c.addMachine("m-000003", "thistle-32", "scot-north")
	c.addMachine("m-000007", "heather-64", "scot-north")
	if err := c.awaitReady(30 * time.Second); err != nil {
		return c.giveUp(err)
	}
	time.Sleep(5 * time.Second)
	// The same work, 60 CPUs for 35 s, in many small tasks, or in tasks of which a report can list all.
	j := deck("job-000201", 3000, 35)
	j.Class, j.Rank, j.CPUs, j.MemGB = "recall-refit", "high", 0.02, 0.02
	if !trouble {
		j.Shards, j.CPUs, j.MemGB = 600, 0.1, 0.1
	}
	// An ordinary task of another team, on the machine type that the small tasks go to.
	other := deck("job-000202", 1, 35, "heather-64")
	other.Class, other.Rank, other.Owner, other.CPUs, other.MemGB = "recall-refit", "high", "content-ops", 2, 2.1
	c.log("of a job with 1,000 tasks or more this record lists the first three, and all at the end")
	submitted := time.Now()
	if !c.submit(j, 0) || !c.submit(other, 0) {
		return c.giveUp(fmt.Errorf("the jobs were not accepted"))
	}
	done := map[string]bool{}
	for ; time.Since(submitted) < 100*time.Second && len(done) < 2; time.Sleep(5 * time.Second) {
		for _, id := range []string{j.ID, other.ID} {
			if _, phase, _ := c.poll(id, 0); phase == "done" {
				done[id] = true
			}
		}
	}
	for _, job := range []*jobSpec{j, other} {
		starts, completed := c.countAttempts(job.ID)
		c.log("%s: %d tasks of %g s, started %d times, completed %d times", job.ID, job.Shards, job.RunS, starts, completed)
		if !done[job.ID] {
			c.fail("accepted job must run: %s is not done 100 s after its submission: %d tasks of %g s were started %d times, %d were completed",
				job.ID, job.Shards, job.RunS, starts, completed)
		}
	}
	return c.stop(), nil
}
