package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"math"
	"strings"
)

// Upper bounds of the values in a submission. They are far above any useful value and only keep absurd ones out.
const (
	maxAmount    = 1e9 // of CPUs, GPUs, GB or seconds
	maxNameBytes = 200 // of a team's or job class's name
	maxImageName = 500 // bytes of an image's name
)

// shapeArray is the only shape that a job can have.
const shapeArray = "array"

// requiredFields has the fields that a submission must contain, as pointers that stay nil for missing fields. It
// is an alias of an unnamed type because encoding/json puts the name of a named type into its error text for a
// field of the wrong type. Users see that text, and the golden tests fix it.
type requiredFields = struct {
	ID       *string  `json:"id"`
	Class    *string  `json:"jobclass"`
	Team     *string  `json:"owner"`
	Shape    *string  `json:"shape"`
	Priority *string  `json:"rank"`
	Tasks    *int     `json:"shards"`
	CPUs     *float64 `json:"cpus"`
	MemGB    *float64 `json:"mem_gb"`
	Image    *string  `json:"bundle"`
	ImageGB  *float64 `json:"size_gb"`
	Estimate *float64 `json:"guess_s"`
}

// checkRequired returns an error that names the first missing or null field, in the order of requiredFields.
func checkRequired(f *requiredFields) error {
	for _, field := range []struct {
		name    string
		missing bool
	}{
		{"id", f.ID == nil},
		{"jobclass", f.Class == nil},
		{"owner", f.Team == nil},
		{"shape", f.Shape == nil},
		{"rank", f.Priority == nil},
		{"shards", f.Tasks == nil},
		{"cpus", f.CPUs == nil},
		{"mem_gb", f.MemGB == nil},
		{"bundle", f.Image == nil},
		{"size_gb", f.ImageGB == nil},
		{"guess_s", f.Estimate == nil},
	} {
		if field.missing {
			return fmt.Errorf("field %s is missing", field.name)
		}
	}
	return nil
}

// ParseJob decodes and checks a submission. An error means that the submission violates the protocol, so that a
// retry fails as well. The user gets status 400 with the text of the error.
func ParseJob(body []byte) (Job, error) {
	var job Job
	if !strings.HasPrefix(strings.TrimLeft(string(body), " \t\r\n"), "{") {
		return job, errors.New("the body is not a JSON object")
	}
	var required requiredFields
	if err := json.Unmarshal(body, &required); err != nil {
		return job, fmt.Errorf("reading the job: %w", err)
	}
	if err := json.Unmarshal(body, &job); err != nil {
		return job, fmt.Errorf("reading the job: %w", err)
	}
	if err := checkRequired(&required); err != nil {
		return job, err
	}
	return job, job.check()
}

// check returns an error if a field has a value that the protocol does not allow.
func (j *Job) check() error {
	switch {
	case !ValidJobID(j.ID):
		return errors.New("field id is not a job id")
	case j.Shape != shapeArray:
		return fmt.Errorf("field shape: %q is not known", j.Shape)
	case PriorityLevel(j.Priority) < 0:
		return fmt.Errorf("field rank: %q is not known", j.Priority)
	case j.Tasks < 1 || j.Tasks > MaxTasks:
		return fmt.Errorf("field shards must be 1 to %d", MaxTasks)
	}
	if err := j.checkAmounts(); err != nil {
		return err
	}
	if j.Team == "" || len(j.Team) > maxNameBytes || len(j.Class) > maxNameBytes || len(j.Image) > maxImageName {
		return errors.New("a name is empty or too long")
	}
	return nil
}

// checkAmounts returns an error if an amount or a duration is out of range, or the tasks request no resources.
func (j *Job) checkAmounts() error {
	for _, field := range []struct {
		name  string
		value float64
	}{
		{"cpus", j.CPUs},
		{"accelerators", j.GPUs},
		{"mem_gb", j.MemGB},
		{"size_gb", j.ImageGB},
		{"guess_s", j.RuntimeEstimateS},
		{"snap_every_s", j.CheckpointIntervalS},
		{"snap_s", j.CheckpointDurationS},
	} {
		if math.IsNaN(field.value) || field.value < 0 || field.value > maxAmount {
			return fmt.Errorf("field %s is out of range", field.name)
		}
	}
	if j.DeadlineS != nil && (*j.DeadlineS < 0 || *j.DeadlineS > maxAmount) {
		return errors.New("field due_s is out of range")
	}
	if j.CPUs == 0 && j.GPUs == 0 && j.MemGB == 0 {
		return errors.New("field cpus: a task must take something")
	}
	return nil
}
