package generator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// operationalLength returns the length of the trace in nanoseconds of operational
// time, in which a burst of factor ten lasts ten times as long.
func operationalLength(parameters *Parameters) float64 {
	length := float64(parameters.Length)
	for _, burst := range parameters.Bursts {
		length += float64(burst.To.Sub(burst.From)) * (burst.Factor - 1)
	}
	return length
}

// momentAt converts operational time, in nanoseconds, to a moment of the trace.
func momentAt(parameters *Parameters, operational float64) identifier.Moment {
	latest := identifier.Moment(0)
	for _, burst := range parameters.Bursts {
		beforeBurst := float64(burst.From.Sub(latest))
		if operational < beforeBurst {
			break
		}
		operational -= beforeBurst
		burstLength := float64(burst.To.Sub(burst.From)) * burst.Factor
		if operational < burstLength {
			return burst.From.Add(time.Duration(operational / burst.Factor))
		}
		operational -= burstLength
		latest = burst.To
	}
	return latest.Add(time.Duration(operational))
}

// burstsAreOrdered reports whether the bursts are sorted, don't overlap, lie within
// the trace, and have valid lengths and factors.
func burstsAreOrdered(bursts []Burst, length time.Duration) bool {
	latest := identifier.Moment(0)
	return !slices.ContainsFunc(bursts, func(burst Burst) bool {
		wrong := burst.From < latest || burst.To <= burst.From || burst.Factor <= 0 || burst.To > identifier.Moment(length)
		latest = burst.To
		return wrong
	})
}
