package assembler

import (
	"context"
	"errors"
	"syscall"
	"time"

	"github.com/stoathitch/stoathitch/pkg/journaler"
)

// retryWhileDiskRefuses carries out a step of the start until the disk no longer refuses it, and returns
// its result. Once ctx is done it returns early, with the zero result and no error.
func retryWhileDiskRefuses[Result any](ctx context.Context, daemon *Daemon, step func() (Result, error)) (Result, error) {
	var refusal refusal
	for {
		result, err := step()
		if err == nil {
			if tries, began := refusal.accepted(); tries > 0 {
				daemon.Log.Info("start goes on, the disk accepts writes", "tries", tries, "lasted", time.Since(began))
			}
			return result, nil
		}
		if !isRefusedByDisk(err) {
			return result, err
		}
		if refusal.refused() {
			daemon.Log.Error("start waits for the disk", "err", err)
		}
		sleep(ctx, writeRetryInterval)
		if ctx.Err() != nil {
			var none Result
			return none, nil
		}
	}
}

// isRefusedByDisk reports whether an error is the disk's own and may pass: other errors, such as missing
// permissions or damage, need an operator.
func isRefusedByDisk(err error) bool {
	return journaler.IsDiskFull(err) || errors.Is(err, syscall.EIO)
}
