package fakes

import "math/rand/v2"

// goldenRatio32 is the fraction of the golden ratio in 32 bits. It makes the generator's second seed differ from the
// first.
const goldenRatio32 = 0x9e3779b9

// Rand returns a random number generator with a fixed seed, so that a run can be repeated.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed^goldenRatio32)) }

// Seed is the seed of the random number generators that tests give to controllers.
const Seed = 1
