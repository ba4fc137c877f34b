package estimator

import (
	"math"
	"time"
)

// series holds the statistics of the observed run times of one kind of tasks.
type series struct {
	// samples counts the observed answers, up to Settings.Window.
	samples int
	// mean is the moving average of run times in nanoseconds.
	mean float64
	// observedSum and declaredSum are the moving averages of the observed and declared
	// times of answers with a declared time. Their ratio corrects declared times.
	observedSum float64
	declaredSum float64
	// meanError and declaredError are the moving averages of the absolute errors of the
	// two predictors.
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
	series.samples = min(series.samples+1, settings.Window)
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

// corrected returns the declared time, in nanoseconds, scaled by the ratio of observed
// to declared times.
func (series *series) corrected(declared time.Duration) float64 {
	if series.declaredSum <= 0 {
		return float64(declared)
	}
	return float64(declared) * series.observedSum / series.declaredSum
}

// predict returns the expected run time in nanoseconds, by the predictor with the
// smaller error.
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
	// ratioBucketCount buckets, each half a power of two wide, span 2^-6 to 2^6.
	ratioBucketCount = 24
	// maxRatioCount is the total count at which all counts are halved, so that they decay.
	maxRatioCount = 256
)

// ratioHistogram counts the ratios of observed to predicted run times. Its counts decay
// by halving.
type ratioHistogram struct {
	counts [ratioBucketCount]uint16
	total  int
}

func (histogram *ratioHistogram) add(ratio float64) {
	bucket := int(math.Round(2*math.Log2(ratio))) + ratioBucketCount/2
	histogram.counts[min(max(bucket, 0), ratioBucketCount-1)]++
	histogram.total++
	if histogram.total < maxRatioCount {
		return
	}
	histogram.total = 0
	for index := range histogram.counts {
		histogram.counts[index] /= 2
		histogram.total += int(histogram.counts[index])
	}
}

// median returns the median ratio, 1 when the histogram is empty.
func (histogram *ratioHistogram) median() float64 {
	remaining := histogram.total / 2
	for index, count := range histogram.counts {
		remaining -= int(count)
		if remaining < 0 {
			return math.Exp2(float64(index-ratioBucketCount/2) / 2)
		}
	}
	return 1
}
