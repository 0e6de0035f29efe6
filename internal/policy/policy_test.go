package policy

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/merlinlatch/merlinlatch/internal/clock"
	"github.com/merlinlatch/merlinlatch/internal/config"
)

func settings(kinds ...string) *config.Settings {
	s := &config.Settings{}
	for _, k := range kinds {
		s.Params.Objectives = append(s.Params.Objectives, config.Objective{Kind: k})
	}
	return s
}

// Economy follows from the objectives: none asks for work without deadlines to be
// finished within a fixed time.
func TestEconomyFollowsFromTheObjectives(t *testing.T) {
	economical, err := Parse("", settings("deadline", "guarantee"))
	require.NoError(t, err)
	require.True(t, economical.Economy)
	early := settings("deadline", "finished")
	early.Params.Objectives[0].Class = "nightly"
	early.Params.Objectives[1].Class = "urgent"
	early.Params.Objectives[1].WithinS = 70
	early.Params.Workers.LeaseS = 16
	quick, err := Parse("", early)
	require.NoError(t, err)
	require.False(t, quick.Economy)
	require.Less(t, economical.IdleReturn, quick.IdleReturn)
	// Guests that have minutes must not put off economy for everybody.
	early.Params.Objectives[1].WithinS = 400
	require.True(t, Economy(early))
	early.Params.Objectives[1].WithinS = 70
	// For work that has deadlines it is one more deadline.
	early.Params.Objectives[1].Class = "nightly"
	require.True(t, Economy(early))
}

func TestOwnScripts(t *testing.T) {
	k, err := Parse("_x = 4\nsample = _x * 2\nif economy:\n    batch = 7\n", settings("deadline"))
	require.NoError(t, err)
	require.Equal(t, 8, k.Sample)
	require.Equal(t, 7, k.Batch)
	require.Equal(t, 24*clock.Second, k.HoldTTL)
	for script, want := range map[string]string{
		"sampel = 3":                          "sampel",
		"sample = 'many'":                     "sample",
		"sample = 0":                          "sample",
		"hold_ttl_s = 3":                      "hold_renew_s",
		"def f(:":                             "policy",
		"while True:\n    pass":               "policy",
		"x = [i for i in range(100000000)]\n": "steps",
	} {
		_, err := Parse(script, settings())
		require.ErrorContains(t, err, want, script)
	}
}

// A script of an earlier release goes on to work: a knob's former name is accepted and told of.
func TestFormerNamesOfKnobsAreAccepted(t *testing.T) {
	for script, want := range map[string]clock.Micros{
		"hire_backoff_s = 9":                         9 * clock.Second,
		"rental_backoff_s = 7":                       7 * clock.Second,
		"hire_backoff_s = 9\nrental_backoff_s = 7\n": 7 * clock.Second,
	} {
		k, err := Parse(script, settings())
		require.NoError(t, err, script)
		require.Equal(t, want, k.RentalBackoff, script)
		require.Equal(t, script[0] == 'h', len(k.Renamed) == 1, script)
	}
}
