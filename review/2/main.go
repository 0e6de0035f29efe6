// Command case2 plays case 2 of the review; see claim.txt.
package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"review/kit"
)

const (
	jobs = 24
	// actsFor is how long a controller acts after the state service has answered a renewal of its lease: 24 s less drift and
	// margin, from the sending of the renewal, some 5 ms before the answer.
	actsFor = 23671 * time.Millisecond
	// gap is by how much the cut outlasts that.
	gap = 45 * time.Millisecond
	// attempt is the time between two attempts of a controller to write a job's end while nothing answers.
	attempt = 3302 * time.Millisecond
	// forgotten is how long no question about a job is answered for the job to count as forgotten, all troubles being over.
	forgotten = 75 * time.Second
)

func main() {
	kit.OpenRecord(filepath.Join(os.Args[1], "record.txt"))
	s := kit.NewSite(kit.Cardwren())
	s.AddMachines(12)
	s.Start()
	time.Sleep(6 * time.Second) // leaderships are spread, machines report
	runLongTasks(s)
	victim := s.Nodes[1]
	placeRenewals(s, victim)
	renewed := make(chan time.Time, 1)
	s.Store.OnExtend = func(controller string) {
		if controller == victim.Name {
			select {
			case renewed <- time.Now():
			default:
			}
		}
	}
	over := (<-renewed).Add(actsFor)
	time.Sleep(10 * time.Millisecond) // the answer passes the link
	if kit.Trouble() {
		victim.CutFromStateAndPeers(true)
	}
	var ends []time.Time
	for _, ms := range []int{20, 37, 55} {
		ends = append(ends, over.Add(time.Duration(ms)*time.Millisecond-2*attempt))
	}
	tasks := s.Fleet.FinishOn(1, "job-", ends)
	time.Sleep(time.Until(over.Add(gap)))
	if kit.Trouble() {
		victim.CutFromStateAndPeers(false)
	}
	watch(s, tasks)
}

// runLongTasks submits jobs of one task each that run for long, and waits until all run.
func runLongTasks(s *kit.Site) {
	for i := range jobs {
		if !s.Submit(kit.SmallJob(fmt.Sprintf("job-%06d", 100+i), "content-ops", 1, 16, 300)) {
			kit.CannotRun("a job was not accepted")
		}
	}
	for end := time.Now().Add(10 * time.Second); s.Fleet.TasksOn("job-") < jobs; time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			kit.CannotRun("not all tasks run before the disruption")
		}
	}
	time.Sleep(time.Second)
}

// placeRenewals submits one more job, at a moment chosen by the controller's start. Whatever a controller reads from the state
// service lets it look at once whether a renewal is due, and every 200 ms from then on; every 200 ms from its start on it
// compares its leaderships with what it serves. The moment puts the end of the lease well before the next comparison.
func placeRenewals(s *kit.Site, n *kit.Node) {
	for time.Since(n.Begun)%(200*time.Millisecond)/time.Millisecond != 140 {
		time.Sleep(200 * time.Microsecond)
	}
	if !s.Submit(kit.SmallJob("job-000099", "app-platform", 1, 1, 300)) {
		kit.CannotRun("a job was not accepted")
	}
}

// watch asks all controllers about all jobs every second, and ends the program.
func watch(s *kit.Site, tasks []string) {
	begun := time.Now()
	answered := map[string]int{}
	for time.Since(begun) < forgotten+500*time.Millisecond {
		for i := range jobs {
			id := fmt.Sprintf("job-%06d", 100+i)
			for _, n := range s.Nodes {
				status, st := n.Poll(id)
				if status == 200 {
					answered[id]++
				}
				if i < 3 || status != 200 {
					kit.Note("poll %s at %s: %d %q", id, n.Name, status, st.Phase)
				}
			}
		}
		time.Sleep(time.Second)
	}
	var lost []string
	for i := range jobs {
		if id := fmt.Sprintf("job-%06d", 100+i); answered[id] == 0 {
			lost = append(lost, id)
		}
	}
	for _, task := range tasks {
		id, _, _ := strings.Cut(task, "/")
		_, all := s.Fleet.AllDoneAt(id)
		kit.Note("%s: all tasks done: %v; questions answered since the cut: %d", id, all, answered[id])
	}
	fmt.Printf("%d of %d jobs got no answer at any controller for %v: %v\n", len(lost), jobs, forgotten, lost)
	if len(lost) > 0 {
		kit.Exit(1)
	}
	kit.Exit(0)
}
