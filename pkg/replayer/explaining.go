package replayer

import (
	"slices"

	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// maxExplainedSteps bounds the decisions that each host keeps if one submission is to be
// explained. It is enough for a long trace.
const maxExplainedSteps = 1 << 20

// HostStep is a decision of one host; its At is a moment of the trace.
type HostStep struct {
	Host identifier.HostID
	explainer.Step
}

// explain returns the decisions about a submission, ordered by moment, of the hosts that are
// running at the end. Those of earlier incarnations are lost.
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
