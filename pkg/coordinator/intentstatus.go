package coordinator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// IntentStatus is what operators see of a host's part in intents.
type IntentStatus struct {
	// Drives tells whether this host drives the workers of its failure domain, Epoch
	// under which epoch of the log.
	Drives bool             `json:"drives"`
	Epoch  identifier.Epoch `json:"epoch"`
	// Workers counts those connected to this host, Intents those under way here.
	Workers int `json:"workers"`
	Intents int `json:"intents"`
	// Proposals counts the commands that wait for the keepers. Many for long tell that
	// no quorum can be reached.
	Proposals int `json:"proposals"`
}

func (driving *driving) status() IntentStatus {
	status := IntentStatus{
		Drives:    driving.driver != nil,
		Epoch:     driving.epoch,
		Workers:   driving.workers.Len(),
		Proposals: driving.proposals.inFlight.Len() + len(driving.proposals.queue),
	}
	if driving.driver != nil {
		status.Intents = driving.assigned.Len()
	}
	return status
}
