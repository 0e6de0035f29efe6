package fairshare

import (
	"slices"

	"github.com/merlinlatch/merlinlatch/internal/resources"
)

// Shape is waiting work of a team with equal requirements: what each task takes and where it may go.
// Part of the message peer.Demand: the fields are wire format.
type Shape struct {
	Need  resources.Amounts
	Types []string // allowed machine types; none: any
	Zone  string   // the only allowed zone; none: any
	Spot  bool     // may use spot machines
	Rank  int
	Owed  bool // within its team's guarantee
	Tasks int
}

// Demand is a team's waiting work, as the team's scheduler sees it. Schedulers send it with each poll,
// also when nothing waits. The fields are wire format.
type Demand struct {
	Team   string
	Term   uint64 // of the team's leadership: a former scheduler's demand does not replace a later one's
	Shapes []Shape
}

// FreeCapacity is the free resources of one machine.
type FreeCapacity struct {
	Machine string
	Type    string
	Zone    string
	Spot    bool
	Free    resources.Amounts
}

// fitsRoom reports whether a task of the shape could start on the machine now.
func (s *Shape) fitsRoom(r *FreeCapacity) bool {
	return s.Tasks > 0 && s.Need.Fits(r.Free) && (!r.Spot || s.Spot) && (s.Zone == "" || s.Zone == r.Zone) &&
		(len(s.Types) == 0 || slices.Contains(s.Types, r.Type))
}

// Assignment is a task for which a scheduler requests a resource lease.
type Assignment struct {
	Team            string
	Rank            int
	Need            resources.Amounts
	WithinGuarantee bool // within its team's guarantee
}

// Use is what a team's tasks take at a partition leader, and the part that its guarantee covers.
type Use struct {
	All             resources.Amounts
	WithinGuarantee resources.Amounts
}

// Standing is a team's share, its use and its demand at one partition leader. The fields are wire format.
type Standing struct {
	Team    string
	Weight  float64
	Share   float64           // of the leader's capacity, by the team's dominant resource
	Taken   float64           // the same of what its tasks take
	Waiting resources.Amounts // anywhere, by its scheduler's latest demand
}
