package fakes

import "math/rand/v2"

// Rand is a source of chance with a fixed seed.
func Rand(seed uint64) *rand.Rand { return rand.New(rand.NewPCG(seed, seed^0x9e3779b9)) }

// Seed is what the tests' controllers draw by.
const Seed = 1
