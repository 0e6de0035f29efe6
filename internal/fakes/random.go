package fakes

import "math/rand/v2"

// goldenRatio32 makes the generator's second seed differ from its first.
const goldenRatio32 = 0x9e3779b9

// Rand is a random number generator with a fixed seed.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed^goldenRatio32)) }

// Seed is the seed of the tests' controllers.
const Seed = 1
