package placement

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
)

const sec = clock.Second

func TestCostSumsFetchSlowdownAndWeights(t *testing.T) {
	task := &Task{Estimate: 30 * sec, Fetch: 8 * sec}
	w := &Weights{ImageFetch: 1}
	for name, test := range map[string]struct {
		machine Machine
		weights *Weights
		want    float64
	}{
		"the machine has the image":             {Machine{HasImage: true}, w, 0},
		"the image must be fetched":             {Machine{}, w, 8},
		"two other fetches share the bandwidth": {Machine{OtherFetches: 2}, w, 24},
		"the fetch is under way":                {Machine{Fetching: true}, w, 4},
		"a slow machine that has the image":     {Machine{HasImage: true, Slowdown: 1.5}, w, 15},
		"a fast machine":                        {Machine{HasImage: true, Slowdown: 0.9}, w, -3},
		"the location of images has no weight":  {Machine{OtherFetches: 5}, &Weights{}, 0},
		"a utilized machine that has the image": {Machine{HasImage: true, Utilization: 0.75}, &Weights{ImageFetch: 1, Utilization: 20}, 15},
		"the most expensive kind":               {Machine{HasImage: true, RelativePrice: 1}, &Weights{ImageFetch: 1, Price: 3}, 3},
		"an unknown price costs nothing":        {Machine{HasImage: true}, &Weights{ImageFetch: 1, Price: 3}, 0},
	} {
		t.Run(name, func(t *testing.T) { require.InDelta(t, test.want, Cost(task, &test.machine, test.weights), 1e-9) })
	}
}

func TestMaxImageWaitIsBounded(t *testing.T) {
	w := &Weights{ImageFetch: 1}
	require.Equal(t, 3*sec, MaxImageWait(&Task{Fetch: 3 * sec}, w, 8*sec))
	require.Equal(t, 8*sec, MaxImageWait(&Task{Fetch: 30 * sec}, w, 8*sec))
	require.Zero(t, MaxImageWait(&Task{Fetch: 30 * sec}, &Weights{}, 8*sec), "the location of images does not matter")
	require.False(t, (&Task{}).FetchTimeKnown())
}
