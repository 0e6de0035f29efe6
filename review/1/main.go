// Command case1 plays case 1 of the review; see claim.txt.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"

	"review/kit"
)

const (
	// cutFor is how long the cut lasts. A controller acts for 23.676 s after a renewal of its lease by its own clock, and the
	// state service keeps the lease for 24 s.
	cutFor   = 23890 * time.Millisecond
	machines = 12
)

func main() {
	kit.OpenRecord(filepath.Join(os.Args[1], "record.txt"))
	s := kit.NewSite(kit.Cardwren())
	s.AddMachines(machines)
	s.Start()
	time.Sleep(8 * time.Second) // leaderships are spread, machines report
	warmUp(s)
	for i, team := range []string{"learning-science", "content-ops", "app-platform"} {
		for k := range 4 {
			if !s.Submit(kit.SmallJob(fmt.Sprintf("job-%06d", 100*(i+1)+k), team, 4, 4, 90)) {
				kit.CannotRun("a job was not accepted")
			}
		}
	}
	for end := time.Now().Add(15 * time.Second); s.Fleet.TasksOn("job-") < 48; time.Sleep(100 * time.Millisecond) {
		if time.Now().After(end) {
			kit.CannotRun("not all tasks run before the disruption")
		}
	}
	time.Sleep(2 * time.Second)
	victim := s.Nodes[1]
	if kit.Trouble() {
		renewed := make(chan struct{}, 1)
		s.Store.OnExtend = func(controller string) {
			if controller == victim.Name {
				select {
				case renewed <- struct{}{}:
				default:
				}
			}
		}
		<-renewed
		time.Sleep(10 * time.Millisecond) // the answer passes the link
		victim.CutFromStateAndPeers(true)
		time.Sleep(cutFor)
		victim.CutFromStateAndPeers(false)
	} else {
		time.Sleep(cutFor)
	}
	time.Sleep(12 * time.Second)
	kit.Note("starts: %d, starts of a task that was on another machine: %d", len(s.Fleet.Starts), len(s.Fleet.RanTwice))
	if len(s.Fleet.RanTwice) > 0 {
		fmt.Println("ran_twice:", len(s.Fleet.RanTwice), "times, first:", s.Fleet.RanTwice[0])
		kit.Exit(1)
	}
	fmt.Println("no task ran twice in", len(s.Fleet.Starts), "starts")
	kit.Exit(0)
}

// warmUp runs a short job on every machine, so that each has the image, as machines that are in use have.
func warmUp(s *kit.Site) {
	if !s.Submit(kit.SmallJob("job-000001", "app-platform", machines, 32, 1)) {
		kit.CannotRun("a job was not accepted")
	}
	for end := time.Now().Add(15 * time.Second); ; time.Sleep(100 * time.Millisecond) {
		if _, ok := s.Fleet.AllDoneAt("job-000001"); ok {
			break
		}
		if time.Now().After(end) {
			kit.CannotRun("the first job does not end")
		}
	}
	time.Sleep(4 * time.Second)
}
