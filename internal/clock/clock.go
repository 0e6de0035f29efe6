// Package clock holds the one time type of the project, whole microseconds,
// and the conversions at its edges.
package clock

import (
	"math"
	"time"
)

// Micros is a span, or a point on a process's steady clock, in microseconds.
type Micros int64

// Useful spans.
const (
	Millisecond Micros = 1000
	Second      Micros = 1000 * Millisecond
)

// FromSeconds converts a wire amount of seconds, rounding to the nearest microsecond.
func FromSeconds(s float64) Micros { return Micros(math.Round(s * 1e6)) }

// FromDuration converts a standard duration.
func FromDuration(d time.Duration) Micros { return Micros(d / time.Microsecond) }

// Seconds converts to a wire amount.
func (m Micros) Seconds() float64 { return float64(m) / 1e6 }

// Duration converts to a standard duration.
func (m Micros) Duration() time.Duration { return time.Duration(m) * time.Microsecond }

// LessDrift shortens a span by the bound on how far two steady clocks drift
// apart (0.05% each way), so that it surely ends no later than the same span elsewhere.
func (m Micros) LessDrift() Micros { return m - m/1000 }

// PlusDrift lengthens a span by the drift bound.
func (m Micros) PlusDrift() Micros { return m + m/1000 }

// Clock tells the steady time.
type Clock interface{ Now() Micros }

// Steady is the process's steady clock.
type Steady struct{ start time.Time }

// NewSteady starts a steady clock at one second, so that zero means "never".
func NewSteady() *Steady { return &Steady{start: time.Now()} }

// Now is the time since the clock was made, plus one second.
func (s *Steady) Now() Micros { return FromDuration(time.Since(s.start)) + Second }
