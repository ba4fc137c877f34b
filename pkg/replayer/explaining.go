package replayer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// explainedSteps is how many decisions the hosts keep where one submission is to
// be explained: enough for a long trace.
const explainedSteps = 1 << 20

// HostStep is a decision of one host, at a moment of the trace.
type HostStep struct {
	Host identifier.HostID
	explainer.Step
}

// explain gathers what the hosts that live at the end decided about a submission.
func (replay *replay) explain(submission identifier.SubmissionID) []HostStep {
	var steps []HostStep
	for _, host := range replay.hosts {
		if host.process == nil {
			continue
		}
		for _, step := range host.process.coordinator.Explain(submission) {
			step.At += host.process.bootedAt
			steps = append(steps, HostStep{Host: host.id, Step: step})
		}
	}
	slices.SortStableFunc(steps, func(first, second HostStep) int {
		return int(first.At - second.At)
	})
	return steps
}
