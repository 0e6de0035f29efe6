// Package res counts what tasks take and machines have, in whole millionths,
// so that sums are exact.
package resources

import "math"

// Amounts is a bundle of resources in millionths of a unit.
type Amounts struct{ CPU, GPU, Mem int64 }

// Request converts wire amounts that a task takes, rounding up.
func Request(cpu, gpu, mem float64) Amounts {
	up := func(v float64) int64 { return int64(math.Ceil(v*1e6 - 1e-4)) }
	return Amounts{up(cpu), up(gpu), up(mem)}
}

// Capacity converts wire amounts that a machine offers, rounding down.
func Capacity(cpu, gpu, mem float64) Amounts {
	down := func(v float64) int64 { return int64(math.Floor(v*1e6 + 1e-4)) }
	return Amounts{down(cpu), down(gpu), down(mem)}
}

// Plus adds.
func (a Amounts) Plus(b Amounts) Amounts { return Amounts{a.CPU + b.CPU, a.GPU + b.GPU, a.Mem + b.Mem} }

// Minus subtracts.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.CPU - b.CPU, a.GPU - b.GPU, a.Mem - b.Mem}
}

// Times multiplies.
func (a Amounts) Times(n int64) Amounts { return Amounts{a.CPU * n, a.GPU * n, a.Mem * n} }

// Fits tells whether a fits into room.
func (a Amounts) Fits(room Amounts) bool {
	return a.CPU <= room.CPU && a.GPU <= room.GPU && a.Mem <= room.Mem
}

// CPUs is the number of whole and partial CPUs.
func (a Amounts) CPUs() float64 { return float64(a.CPU) / 1e6 }
