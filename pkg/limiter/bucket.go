package limiter

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// bucket is a token bucket that is refilled with rate tokens per second. Its tokens may
// become negative.
type bucket struct {
	rate       float64
	capacity   float64
	tokens     float64
	refilledAt identifier.Moment
}

func newBucket(now identifier.Moment, rate, capacity float64) bucket {
	return bucket{rate: rate, capacity: capacity, tokens: capacity, refilledAt: now}
}

func (bucket *bucket) refill(now identifier.Moment) {
	if now <= bucket.refilledAt {
		return
	}
	bucket.tokens = min(bucket.capacity, bucket.tokens+bucket.rate*now.Sub(bucket.refilledAt).Seconds())
	bucket.refilledAt = now
}

func (bucket *bucket) add(now identifier.Moment, tokens float64) {
	bucket.refill(now)
	bucket.tokens = min(bucket.capacity, bucket.tokens+tokens)
}

func (bucket *bucket) consume(now identifier.Moment, tokens float64) {
	bucket.refill(now)
	bucket.tokens -= tokens
}

// timeUntil returns how long it takes until the bucket holds the given number of tokens.
// It returns one second if tokens are missing and the rate is 0.
func (bucket *bucket) timeUntil(now identifier.Moment, tokens float64) time.Duration {
	bucket.refill(now)
	missing := tokens - bucket.tokens
	if missing <= 0 {
		return 0
	}
	if bucket.rate <= 0 {
		return time.Second
	}
	return time.Duration(math.Ceil(missing / bucket.rate * float64(time.Second)))
}

func (bucket *bucket) full(now identifier.Moment) bool {
	bucket.refill(now)
	return bucket.tokens >= bucket.capacity
}
