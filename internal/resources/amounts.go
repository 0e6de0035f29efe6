// Package resources counts what tasks request and machines have, in whole millionths of a unit, so that
// sums are exact: adding and subtracting the same amounts in any order leaves nothing over.
//
// Requests are rounded up and capacities down, so that rounding never lets a task on a machine that it
// does not fit.
package resources

import "math"

// unit is how many millionths make one CPU, one GPU or one GB.
const unit = 1_000_000

// conversionSlack is what a wire amount may be off by a whole number of millionths, in millionths: 0.1 and
// the like have no exact float64, and must not be rounded to the next millionth for that.
const conversionSlack = 1e-4

// Amounts are resources in millionths: of CPUs, of GPUs, and of GB of memory. The fields are part of the
// messages between controllers: their names and order stay.
type Amounts struct{ CPU, GPU, Mem int64 }

// Request converts what a task requests (CPUs, GPUs, GB), rounding up.
func Request(cpus, gpus, memGB float64) Amounts {
	return Amounts{roundUp(cpus), roundUp(gpus), roundUp(memGB)}
}

// Capacity converts what a machine or a quota offers (CPUs, GPUs, GB), rounding down.
func Capacity(cpus, gpus, memGB float64) Amounts {
	return Amounts{roundDown(cpus), roundDown(gpus), roundDown(memGB)}
}

func roundUp(v float64) int64   { return int64(math.Ceil(v*unit - conversionSlack)) }
func roundDown(v float64) int64 { return int64(math.Floor(v*unit + conversionSlack)) }

// Plus adds.
func (a Amounts) Plus(b Amounts) Amounts { return Amounts{a.CPU + b.CPU, a.GPU + b.GPU, a.Mem + b.Mem} }

// Minus subtracts; the result may be negative.
func (a Amounts) Minus(b Amounts) Amounts {
	return Amounts{a.CPU - b.CPU, a.GPU - b.GPU, a.Mem - b.Mem}
}

// Times multiplies.
func (a Amounts) Times(n int64) Amounts { return Amounts{a.CPU * n, a.GPU * n, a.Mem * n} }

// Fits reports whether each of the amounts is at most the one that is available.
func (a Amounts) Fits(available Amounts) bool {
	return a.CPU <= available.CPU && a.GPU <= available.GPU && a.Mem <= available.Mem
}

// CPUs is the number of CPUs, with fractions.
func (a Amounts) CPUs() float64 { return float64(a.CPU) / unit }
