package scheduler

import (
	"encoding/base64"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// Apply applies events of the replica: changes of jobs, progress, watermarks and machine records. The job cache must have applied
// them before.
func (s *Server) Apply(events []kvstore.Event) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now, machinesChanged := s.clock.Now(), false
	for _, e := range events {
		switch {
		case strings.HasPrefix(e.Key, kvstore.ActiveJobPrefix):
			s.applyJob(e, now)
		case strings.HasPrefix(e.Key, kvstore.ProgressPrefix):
			s.applyProgress(e)
		case strings.HasPrefix(e.Key, kvstore.WatermarkPrefix):
			s.applyWatermarks(e)
		case strings.HasPrefix(e.Key, kvstore.MachinePrefix):
			s.applyMachineRecord(e)
			machinesChanged = true
		}
	}
	if machinesChanged {
		s.scheduler.legacyRecords = s.records.HasLegacy()
	}
	s.scheduleWake.Notify()
}

// applyJob applies a change of a job's active record, which may itself say that the job is over. The caller holds the lock.
func (s *Server) applyJob(e kvstore.Event, now clock.Micros) {
	id := strings.TrimPrefix(e.Key, kvstore.ActiveJobPrefix)
	if j, ok := s.jobs.Active(id); ok && e.Value != nil {
		s.scheduler.AddJob(j, now)
	} else {
		s.scheduler.DropJob(id)
	}
}

// applyProgress applies a change of a progress record. A record that can't be decoded changes nothing. The caller holds the lock.
func (s *Server) applyProgress(e kvstore.Event) {
	id, suffix, _ := strings.Cut(strings.TrimPrefix(e.Key, kvstore.ProgressPrefix), "/")
	chunk, ok := parseChunkID(suffix)
	if !ok {
		return
	}
	if e.Value == nil {
		s.scheduler.DropProgress(id, chunk)
		return
	}
	var text string
	if json.Unmarshal(e.Value, &text) != nil {
		return
	}
	if bits, err := base64.StdEncoding.DecodeString(text); err == nil {
		s.scheduler.HandleProgressRecord(id, chunk, bits, e.ModRevision)
	}
}

// applyWatermarks applies a change of a watermark record. A record that can't be decoded changes nothing. The caller holds the
// lock.
func (s *Server) applyWatermarks(e kvstore.Event) {
	var tasksByJob map[string]int
	if e.Value != nil && json.Unmarshal(e.Value, &tasksByJob) != nil {
		return
	}
	s.scheduler.HandleWatermarkRecord(e.Key, tasksByJob, e.ModRevision)
}

// applyMachineRecord applies a change of a machine record, which may have several machines. The caller holds the lock.
func (s *Server) applyMachineRecord(e kvstore.Event) {
	added, removed := s.records.Apply(e)
	for _, id := range removed {
		s.scheduler.HandleMachineRecord(id, false)
	}
	for id := range added {
		s.scheduler.HandleMachineRecord(id, true)
	}
}
