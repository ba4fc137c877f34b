package connector

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/logwriter"
)

// refusalLog logs refused connections at a limited rate.
type refusalLog struct{ pacer logwriter.RateLimiter }

func (refusalLog *refusalLog) recordRefusal(logger *log.Logger, kind, name string, cause error) {
	if unlogged, admitted := refusalLog.pacer.Allow(time.Now()); admitted {
		logger.Warn("connection refused", kind, name, "err", cause, "refusals-not-logged", unlogged)
	}
}
