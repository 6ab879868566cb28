package decide

import (
	"math"
	"time"
)

// mixIncrement is the increment of splitmix64.
const mixIncrement = 0x9e3779b97f4a7c15

// decay returns the share of a value that is left after a time, with the time constant tau in seconds.
func decay(since time.Duration, tau float64) float64 { return math.Exp(-since.Seconds() / tau) }

// mix spreads the bits of a number (splitmix64).
func mix(z uint64) uint64 {
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

// random returns the next number in [0,1) of the module's own generator.
func (m *Module) random() float64 {
	m.randomState += mixIncrement
	return float64(mix(m.randomState)>>11) / (1 << 53)
}

// jitter returns a random time between half of d and one and a half times d.
func (m *Module) jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (0.5 + m.random()))
}
