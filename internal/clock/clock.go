// Package clock holds the one time type of the project, whole microseconds,
// and the conversions at its edges.
//
// Leases and timeouts are counted by a process's steady clock, which the time of day does not move. Two
// processes' steady clocks show different times, but run at nearly the same rate: LessDrift and PlusDrift
// turn a span of one into a bound for the other (docs/design.md, "Why the rules hold", numbers 4 and 17).
package clock

import (
	"math"
	"time"
)

// Micros is a span, or a point on a process's steady clock, in microseconds. As a point, 0 means "never".
type Micros int64

// Units of spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// maxDriftPart is the part of a span, as its divisor, by which two steady clocks may drift apart while it
// lasts: one thousandth, 0.05% each way.
const maxDriftPart = 1000

// FromSeconds converts a wire amount of seconds, rounding to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * float64(Second))) }

// FromDuration converts a standard duration, rounding towards zero.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds converts to a wire amount.
func (m Micros) Seconds() float64 { return float64(m) / float64(Second) }

// Duration converts to a standard duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// LessDrift shortens a span by the bound on how far two steady clocks drift
// apart, so that it surely ends no later than the same span elsewhere.
func (m Micros) LessDrift() Micros { return m - m/maxDriftPart }

// PlusDrift lengthens a span by the drift bound, so that it ends no earlier than the same span elsewhere,
// to within a millionth of the span.
func (m Micros) PlusDrift() Micros { return m + m/maxDriftPart }

// Clock returns the steady time.
type Clock interface{ Now() Micros }

// Steady is the process's steady clock. It may be used concurrently.
type Steady struct{ start time.Time }

// NewSteady starts a steady clock at one second, so that 0 means "never".
func NewSteady() *Steady { return &Steady{start: time.Now()} }

// Now is the time since the clock was made, plus one second.
func (s *Steady) Now() Micros { return FromDuration(time.Since(s.start)) + Second }
