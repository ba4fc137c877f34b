package connector

import (
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/logwriter"
)

// refusals logs who was refused, now and then.
type refusals struct{ pacer logwriter.Pacer }

func (refusals *refusals) note(logger *log.Logger, kind, name string, cause error) {
	if unlogged, admitted := refusals.pacer.Admit(time.Now()); admitted {
		logger.Warn("connection refused", kind, name, "err", cause, "refusals-not-logged", unlogged)
	}
}
