package guarder

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// permille is the number of thousandths in a whole.
const permille = 1000

// peak is a highest usage that decays: it is halved in each half-life.
type peak struct {
	value identifier.Resources
	at    identifier.Moment
}

// raise decays the peak to the time at and raises it to at least used.
func (peak *peak) raise(at identifier.Moment, used identifier.Resources, halfLife time.Duration) {
	peak.value = peak.decayed(at, halfLife).Max(used)
	peak.at = max(at, peak.at)
}

// decayed returns the peak as decayed at now: halved for each whole half-life, and linear
// in between. It computes in integers, so that all hosts get the same result.
func (peak *peak) decayed(now identifier.Moment, halfLife time.Duration) identifier.Resources {
	elapsed := max(now.Sub(peak.at), 0)
	if halfLife <= 0 || elapsed == 0 {
		return peak.value
	}
	halvings := min(int64(elapsed/halfLife), 62)
	rest := int64(elapsed % halfLife * permille / halfLife)
	share := func(amount int64) int64 {
		amount >>= halvings
		return amount/(2*permille)*(2*permille-rest) + amount%(2*permille)*(2*permille-rest)/(2*permille)
	}
	return identifier.Resources{
		MilliCPU:     identifier.MilliCPU(share(int64(peak.value.MilliCPU))),
		Memory:       identifier.Bytes(share(int64(peak.value.Memory))),
		Accelerators: peak.value.Accelerators,
	}
}
