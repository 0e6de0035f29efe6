package wire_test

import (
	"fmt"

	"github.com/merlinlatch/merlinlatch/wire"
)

func ExampleParseJob() {
	job, err := wire.ParseJob([]byte(`{"id":"job-000412","jobclass":"train","owner":"vision","shape":"array","rank":"high",
		"shards":16,"cpus":8.0,"mem_gb":64.0,"bundle":"img-07","size_gb":6.2,"guess_s":240.0}`))
	fmt.Println(job.ID, job.Team, job.Tasks, job.RuntimeEstimateS, err)

	_, err = wire.ParseJob([]byte(`{"id":"job-000412"}`))
	fmt.Println(err)
	// Output:
	// job-000412 vision 16 240 <nil>
	// field jobclass is missing
}

func ExampleTaskName() {
	fmt.Println(wire.TaskName("job-000412", 3))
	// Output: job-000412/3
}

func ExampleSplitTask() {
	job, n, ok := wire.SplitTask("job-000412/3")
	fmt.Println(job, n, ok)

	_, _, ok = wire.SplitTask("job-000412")
	fmt.Println(ok)
	// Output:
	// job-000412 3 true
	// false
}
