package integration_test

import (
	"fmt"
	"time"
)

// background is a job whose request goes on beside the test.
type background struct {
	begun time.Time
	ended chan struct{}
	// The rest is set once ended is closed.
	took     time.Duration
	received *answer
	err      error
}

// submitInBackground sends a job once and keeps what came of it. Without that a
// refusal looks like a job that waits for ever.
func submitInBackground(daemon *daemon, job *job) *background {
	background := &background{begun: time.Now(), ended: make(chan struct{})}
	go func() {
		defer close(background.ended)
		background.received, background.err = send(daemon, job, patience)
		background.took = time.Since(background.begun)
	}()
	return background
}

// told says what came of the request so far.
func (background *background) told() string {
	select {
	case <-background.ended:
	default:
		return fmt.Sprintf("no answer for %s", time.Since(background.begun).Round(time.Millisecond))
	}
	took := background.took.Round(time.Millisecond)
	if background.err != nil {
		return fmt.Sprintf("after %s the error %v", took, background.err)
	}
	return fmt.Sprintf("after %s the answer %+v", took, *background.received)
}
