package scheduler

import (
	"encoding/base64"
	"strings"

	"github.com/segmentio/encoding/json"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/kvstore"
)

// Apply takes events of the replica: jobs, progress, watermarks and machine records. The cache of jobs has taken them already.
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

// applyJob takes an active record, which may also say that its job is over. The lock is held.
func (s *Server) applyJob(e kvstore.Event, now clock.Micros) {
	id := strings.TrimPrefix(e.Key, kvstore.ActiveJobPrefix)
	if j, ok := s.jobs.Active(id); ok && e.Value != nil {
		s.scheduler.AddJob(j, now)
	} else {
		s.scheduler.DropJob(id)
	}
}

// applyProgress takes a record of progress; one that is not understood changes nothing. The lock is held.
func (s *Server) applyProgress(e kvstore.Event) {
	id, suffix, _ := strings.Cut(strings.TrimPrefix(e.Key, kvstore.ProgressPrefix), "/")
	chunk, ok := parseChunk(suffix)
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

// applyWatermarks takes a record of watermarks; one that is not understood changes nothing. The lock is held.
func (s *Server) applyWatermarks(e kvstore.Event) {
	var tasksByJob map[string]int
	if e.Value != nil && json.Unmarshal(e.Value, &tasksByJob) != nil {
		return
	}
	s.scheduler.HandleWatermarkRecord(e.Key, tasksByJob, e.ModRevision)
}

// applyMachineRecord takes a record of machines. The lock is held.
func (s *Server) applyMachineRecord(e kvstore.Event) {
	added, removed := s.records.Apply(e)
	for _, id := range removed {
		s.scheduler.HandleMachineRecord(id, false)
	}
	for id := range added {
		s.scheduler.HandleMachineRecord(id, true)
	}
}
