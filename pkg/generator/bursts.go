package generator

import (
	"slices"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// operationalLength returns the length of the trace in nanoseconds on the scale
// of operational time, on which a burst of factor ten lasts ten times as long.
func operationalLength(parameters *Parameters) float64 {
	length := float64(parameters.Length)
	for _, burst := range parameters.Bursts {
		length += float64(burst.To.Sub(burst.From)) * (burst.Factor - 1)
	}
	return length
}

// momentAt returns the moment of the trace at a point of operational time.
func momentAt(parameters *Parameters, operational float64) identifier.Moment {
	latest := identifier.Moment(0)
	for _, burst := range parameters.Bursts {
		calm := float64(burst.From.Sub(latest))
		if operational < calm {
			break
		}
		operational -= calm
		heavy := float64(burst.To.Sub(burst.From)) * burst.Factor
		if operational < heavy {
			return burst.From.Add(time.Duration(operational / burst.Factor))
		}
		operational -= heavy
		latest = burst.To
	}
	return latest.Add(time.Duration(operational))
}

// ordered tells whether the bursts follow each other within the trace.
func ordered(bursts []Burst, length time.Duration) bool {
	latest := identifier.Moment(0)
	return !slices.ContainsFunc(bursts, func(burst Burst) bool {
		wrong := burst.From < latest || burst.To <= burst.From || burst.Factor <= 0 || burst.To > identifier.Moment(length)
		latest = burst.To
		return wrong
	})
}
