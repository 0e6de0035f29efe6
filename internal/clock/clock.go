// Package clock provides the time type that is used throughout the project, in whole microseconds, and conversions
// from and to other representations of time.
//
// Leases and timeouts are measured on the monotonic clock of a process, so that adjustments of the wall clock don't
// change them. The monotonic clocks of two processes show different times but run at nearly the same rate. LessDrift
// and PlusDrift turn a span on one clock into a bound for the other, so that a process never assumes too early that
// another one's lease has expired (docs/design.md, "Why the rules hold", numbers 4 and 17).
package clock

import (
	"math"
	"time"
)

// Micros is a time span, or a point on the monotonic clock of a process, in microseconds. As a point, 0 means "never".
type Micros int64

// Units of time spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// maxDriftDivisor is the divisor of a span that bounds how far two monotonic clocks drift apart during the span: by one
// thousandth of it, which is 0.05% for each clock.
const maxDriftDivisor = 1000

// FromSeconds converts a number of seconds, as messages have it, rounding to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * float64(Second))) }

// FromDuration converts a time.Duration, rounding towards zero.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds converts to a number of seconds, as messages have it.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration converts to a time.Duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// LessDrift shortens a span by the drift bound, so that on this process's clock it ends no later than the full span on
// the clock of any other process.
func (m Micros) LessDrift() Micros { return m - m/maxDriftDivisor }

// PlusDrift lengthens a span by the drift bound, so that on this process's clock it ends no earlier than the original
// span on the clock of any other process, to within a millionth of the span.
func (m Micros) PlusDrift() Micros { return m + m/maxDriftDivisor }

// Clock tells the monotonic time.
type Clock interface{ Now() Micros }

// Monotonic is the monotonic clock of the process. It is safe for concurrent use.
type Monotonic struct{ start time.Time }

// NewMonotonic returns a monotonic clock that starts at one second, so that it never shows 0, which means "never".
func NewMonotonic() *Monotonic { return &Monotonic{start: time.Now()} }

// Now returns the time since the clock was made, plus one second.
func (m *Monotonic) Now() Micros { return FromDuration(time.Since(m.start)) + Second }
