package assembler

import (
	"context"
	"time"
)

// fileRetryInterval is the wait until a file is tried again that the disk has refused.
const fileRetryInterval = time.Second

// writeNewest writes the values of a channel until ctx is done, at most one in each interval. A value
// that could not be written is tried again unless a newer one has come. note gets each outcome.
func writeNewest[T any](ctx context.Context, newest <-chan T, interval time.Duration, write func(T) error, note func(error)) {
	var value T
	var retry <-chan time.Time
	for {
		select {
		case <-ctx.Done():
			return
		case value = <-newest:
		case <-retry:
		}
		err := write(value)
		note(err)
		retry = nil
		if err != nil {
			retry = time.After(0)
		}
		sleep(ctx, interval)
	}
}
