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

// partitionsPerController is how many partitions there are for each controller: several, so that those of one that
// fails can be spread over the others. One transaction must be able to name all of them (argument 11), which may leave fewer.
const partitionsPerController = 4

// layout is what the settings say of the controllers, the duties and the teams. All controllers derive the same one from
// their settings, but for instanceID.
type layout struct {
	instanceID      string   // names this process
	hosts           []string // all controllers, in order
	partitionDuties []string // duties of the partitions
	partitionZones  []string // zone of each partition's preferred leader
	teams           []scheduler.Team
	limits          map[string]resources.Amounts // by team
}

func newLayout(settings *config.Settings) layout {
	p := &settings.Params
	l := layout{instanceID: uuid.NewString(), hosts: []string{settings.Host}, limits: map[string]resources.Amounts{}}
	zoneOf := map[string]string{settings.Host: settings.Zone}
	for _, other := range settings.Peers {
		l.hosts = append(l.hosts, other.Host)
		zoneOf[other.Host] = other.Zone
	}
	slices.Sort(l.hosts)
	for i := range min(partitionsPerController*p.Count, scheduler.MaxPartitions(p.State.TxnOps)) {
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

// duties lists the duties of all kinds, the partitions first.
func (l *layout) duties() []string {
	out := slices.Clone(l.partitionDuties)
	for _, t := range l.teams {
		out = append(out, scheduler.Duty(t.Name))
	}
	return append(out, autoscaler.Duty)
}
