package limiter

import (
	"math"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// bucket is a token bucket that is refilled at rate tokens a second.
type bucket struct {
	rate     float64
	capacity float64
	tokens   float64
	filledAt identifier.Moment
}

func newBucket(now identifier.Moment, rate, capacity float64) bucket {
	return bucket{rate: rate, capacity: capacity, tokens: capacity, filledAt: now}
}

func (bucket *bucket) refill(now identifier.Moment) {
	if now <= bucket.filledAt {
		return
	}
	bucket.tokens = min(bucket.capacity, bucket.tokens+bucket.rate*now.Sub(bucket.filledAt).Seconds())
	bucket.filledAt = now
}

func (bucket *bucket) add(now identifier.Moment, tokens float64) {
	bucket.refill(now)
	bucket.tokens = min(bucket.capacity, bucket.tokens+tokens)
}

func (bucket *bucket) take(now identifier.Moment, tokens float64) {
	bucket.refill(now)
	bucket.tokens -= tokens
}

// until returns how long it takes until the bucket holds so many tokens.
func (bucket *bucket) until(now identifier.Moment, tokens float64) time.Duration {
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
