// Package resources represents the resources that tasks request and machines have as integers, in millionths of a
// unit. Sums are therefore exact: adding and subtracting the same amounts in any order gives the original amounts.
//
// Requests are rounded up and capacities are rounded down, so that rounding never admits a task to a machine on which
// it does not fit.
package resources

import "math"

// unit is the integer that represents one CPU, one GPU or one GB.
const unit = 1_000_000

// conversionSlack is the difference from a whole number of millionths, in millionths, that is treated as an error of
// floating-point representation. Decimal amounts on the wire such as 0.1 have no exact float64, and would be rounded
// to the next millionth without it.
const conversionSlack = 1e-4

// Amounts are amounts of CPUs, GPUs and GB of memory, in millionths of each unit. The fields are part of messages between
// controllers, so their names and order must not change.
type Amounts struct{ CPU, GPU, Mem int64 }

// Request converts the amounts that a task requests, in CPUs, GPUs and GB, rounding up.
func Request(cpus, gpus, memGB float64) Amounts {
	return Amounts{roundUp(cpus), roundUp(gpus), roundUp(memGB)}
}

// Capacity converts the amounts of a machine or a quota, in CPUs, GPUs and GB, rounding down.
func Capacity(cpus, gpus, memGB float64) Amounts {
	return Amounts{roundDown(cpus), roundDown(gpus), roundDown(memGB)}
}

func roundUp(v float64) int64   { return int64(math.Ceil(v*unit - conversionSlack)) }
func roundDown(v float64) int64 { return int64(math.Floor(v*unit + conversionSlack)) }

// Plus returns a + b.
func (a Amounts) Plus(b Amounts) Amounts { return Amounts{a.CPU + b.CPU, a.GPU + b.GPU, a.Mem + b.Mem} }

// Minus returns a - b. The result may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.CPU - b.CPU, a.GPU - b.GPU, a.Mem - b.Mem}
}

// Times returns a multiplied by n.
func (a Amounts) Times(n int64) Amounts { return Amounts{a.CPU * n, a.GPU * n, a.Mem * n} }

// Fits reports whether each amount is at most the available one.
func (a Amounts) Fits(available Amounts) bool {
	return a.CPU <= available.CPU && a.GPU <= available.GPU && a.Mem <= available.Mem
}

// CPUs returns the number of CPUs, including fractions.
func (a Amounts) CPUs() float64 { return float64(a.CPU) / unit }
