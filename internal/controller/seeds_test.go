package controller

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
)

// seedRange is the seeds that a random test runs, each in a subtest of its own. A long run takes more of them by the flags
// -first-NAME-seed and -NAME-seeds.
type seedRange struct{ first, count *uint64 }

// newSeedRange returns the seeds from 0 on, and defines the flags of the range.
func newSeedRange(name string, count uint64) seedRange {
	return seedRange{
		first: flag.Uint64(fmt.Sprintf("first-%s-seed", name), 0, "first seed of the random "+name+" test"),
		count: flag.Uint64(name+"-seeds", count, "number of seeds of the random "+name+" test"),
	}
}

// run runs a scenario with each seed, in a synctest bubble.
func (s seedRange) run(t *testing.T, scenario func(t *testing.T, seed uint64)) {
	t.Helper()
	for seed := *s.first; seed < *s.first+*s.count; seed++ {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { scenario(t, seed) })
		})
	}
}
