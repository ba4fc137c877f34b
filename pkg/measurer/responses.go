package measurer

import "github.com/HdrHistogram/hdrhistogram-go"

// bucketBounds are the upper bounds of the buckets, in milliseconds. Longer times
// fall into a last bucket without a bound.
var bucketBounds = []float64{1, 2, 5, 10, 20, 50, 100, 200, 500, 1000, 2000, 5000, 10_000}

// Bucket counts the response times above the previous bound and up to its own.
type Bucket struct {
	// UpTo is the bound in milliseconds; 0 means no bound.
	UpTo  float64 `json:"up-to-ms"`
	Count int64   `json:"count"`
}

// Response is the histogram of the response times of one team and class.
type Response struct {
	Summary
	// Buckets omits empty buckets.
	Buckets []Bucket `json:"buckets"`
}

// Responses lists the histograms in the order in which they were created.
func (measurer *Measurer) Responses() []Response {
	measurer.mutex.Lock()
	defer measurer.mutex.Unlock()
	responses := []Response{}
	for _, summary := range measurer.responses.summaries() {
		histogram := measurer.responses.byLabel[label{team: summary.Team, class: summary.Class}]
		responses = append(responses, Response{Summary: summary, Buckets: bucketsOf(histogram)})
	}
	return responses
}

func bucketsOf(histogram *hdrhistogram.Histogram) []Bucket {
	counts := make([]int64, len(bucketBounds)+1)
	for _, bar := range histogram.Distribution() {
		position := 0
		for position < len(bucketBounds) && milliseconds(bar.From) > bucketBounds[position] {
			position++
		}
		counts[position] += bar.Count
	}
	buckets := []Bucket{}
	for position, count := range counts {
		if count == 0 {
			continue
		}
		bucket := Bucket{Count: count}
		if position < len(bucketBounds) {
			bucket.UpTo = bucketBounds[position]
		}
		buckets = append(buckets, bucket)
	}
	return buckets
}
