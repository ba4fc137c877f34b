package estimator

import (
	"math"
	"time"
)

// series is what was learned of one kind of tasks.
type series struct {
	// samples counts answers up to Settings.Memory.
	samples int
	// mean is the decayed mean run time in nanoseconds.
	mean float64
	// observedSum and declaredSum are decayed sums over the answers with a
	// declared time; their ratio corrects declared times.
	observedSum float64
	declaredSum float64
	// meanError and declaredError are the decayed errors of the two predictors.
	meanError     float64
	declaredError float64
	ratios        ratioHistogram
}

func (series *series) observe(settings *Settings, declared, observed time.Duration) {
	value := float64(observed)
	if series.samples >= settings.MinSamples {
		value = min(value, series.predict(declared)*settings.OutlierFactor)
		series.ratios.add(value / series.predict(declared))
	}
	series.samples = min(series.samples+1, settings.Memory)
	gain := 1 / float64(series.samples)
	if declared > 0 {
		corrected := series.corrected(declared)
		series.declaredError += gain * (math.Abs(value-corrected) - series.declaredError)
		series.meanError += gain * (math.Abs(value-series.mean) - series.meanError)
		series.observedSum += gain * (value - series.observedSum)
		series.declaredSum += gain * (float64(declared) - series.declaredSum)
	}
	series.mean += gain * (value - series.mean)
}

// corrected returns the declared time times the observed ratio.
func (series *series) corrected(declared time.Duration) float64 {
	if series.declaredSum <= 0 {
		return float64(declared)
	}
	return float64(declared) * series.observedSum / series.declaredSum
}

// predict returns the expected run time by the better predictor, in nanoseconds.
func (series *series) predict(declared time.Duration) float64 {
	if declared > 0 && series.declaredSum > 0 && series.declaredError < series.meanError {
		return max(series.corrected(declared), 1)
	}
	return max(series.mean, 1)
}

func (series *series) estimate(declared time.Duration) Estimate {
	predicted := series.predict(declared)
	typical := predicted * series.ratios.median()
	return Estimate{Mean: time.Duration(predicted), Typical: time.Duration(typical), Learned: true}
}

const (
	// ratioBuckets buckets of half a power of two each span 2^-6 to 2^6.
	ratioBuckets = 24
	// ratioMemory is the count at which a histogram is halved, which decays it.
	ratioMemory = 256
)

// ratioHistogram holds observed over predicted, decayed by halving.
type ratioHistogram struct {
	counts [ratioBuckets]uint16
	total  int
}

func (histogram *ratioHistogram) add(ratio float64) {
	bucket := int(math.Round(2*math.Log2(ratio))) + ratioBuckets/2
	histogram.counts[min(max(bucket, 0), ratioBuckets-1)]++
	histogram.total++
	if histogram.total < ratioMemory {
		return
	}
	histogram.total = 0
	for index := range histogram.counts {
		histogram.counts[index] /= 2
		histogram.total += int(histogram.counts[index])
	}
}

// median returns the ratio that half of the answers stay below; 1 when empty.
func (histogram *ratioHistogram) median() float64 {
	remaining := histogram.total / 2
	for index, count := range histogram.counts {
		remaining -= int(count)
		if remaining < 0 {
			return math.Exp2(float64(index-ratioBuckets/2) / 2)
		}
	}
	return 1
}
