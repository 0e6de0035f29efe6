package controller

import (
	"slices"

	"github.com/google/uuid"

	"github.com/merlinlatch/merlinlatch/internal/autoscaler"
	"github.com/merlinlatch/merlinlatch/internal/config"
	"github.com/merlinlatch/merlinlatch/internal/leaderelection"
	"github.com/merlinlatch/merlinlatch/internal/partition"
	"github.com/merlinlatch/merlinlatch/internal/resources"
	"github.com/merlinlatch/merlinlatch/internal/scheduler"
)

// partitionsPerController is the number of partitions for each controller. There are several, so that the partitions of a
// controller that fails can be spread over the others. The transaction that makes a cancellation final has a condition on the
// leadership of every partition, so that no leader can miss the cancellation and let the job run on (docs/design.md, "Why the
// rules hold", number 11). If the store's transactions are too small for that, there are fewer partitions.
const partitionsPerController = 4

// layout has the controllers, duties and teams that the settings define. All controllers derive the same layout from their
// settings, except for processID.
type layout struct {
	processID       string   // identifies this process
	hosts           []string // all controllers, sorted
	partitionDuties []string // by partition
	partitionZones  []string // by partition; the zone of its preferred leader
	teams           []scheduler.Team
	limits          map[string]resources.Amounts // by team
}

func newLayout(settings *config.Settings) layout {
	p := &settings.Params
	l := layout{processID: uuid.NewString(), hosts: []string{settings.Host}, limits: map[string]resources.Amounts{}}
	zoneOf := map[string]string{settings.Host: settings.Zone}
	for _, other := range settings.Peers {
		l.hosts = append(l.hosts, other.Host)
		zoneOf[other.Host] = other.Zone
	}
	slices.Sort(l.hosts)
	for i := range min(partitionsPerController*p.Count, scheduler.MaxPartitions(p.Store.TxnOps)) {
		l.partitionDuties = append(l.partitionDuties, partition.Duty(i))
		l.partitionZones = append(l.partitionZones, zoneOf[leaderelection.PreferredLeader(l.hosts, i, 0)])
	}
	for _, t := range p.Teams {
		team := scheduler.Team{
			Name:      t.Name,
			Guarantee: resources.Capacity(t.CPUs, t.GPUs, 0),
			Limit:     resources.Capacity(t.CPUsMax, t.GPUsMax, 0),
		}
		l.teams = append(l.teams, team)
		l.limits[t.Name] = team.Limit
	}
	return l
}

// duties lists all duties: first those of the partitions, then those of the teams, last that of the fleet.
func (l *layout) duties() []string {
	out := slices.Clone(l.partitionDuties)
	for _, t := range l.teams {
		out = append(out, scheduler.TeamDuty(t.Name))
	}
	return append(out, autoscaler.Duty)
}
