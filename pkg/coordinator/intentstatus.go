package coordinator

import "github.com/stoathitch/stoathitch/pkg/identifier"

// IntentStatus is the part of a host's status that concerns intents.
type IntentStatus struct {
	// Drives reports whether this host drives the workers of its failure domain. Epoch is the epoch
	// of the log under which it does.
	Drives bool             `json:"drives"`
	Epoch  identifier.Epoch `json:"epoch"`
	// Workers counts those connected to this host. Intents counts those that this host is driving.
	Workers int `json:"workers"`
	Intents int `json:"intents"`
	// Proposals counts the commands that wait for the keepers. A high number over a long time means
	// that no quorum can be reached.
	Proposals int `json:"proposals"`
}

func (intentDriver *intentDriver) status() IntentStatus {
	status := IntentStatus{
		Drives:    intentDriver.driver != nil,
		Epoch:     intentDriver.epoch,
		Workers:   intentDriver.workers.Len(),
		Proposals: intentDriver.proposals.inFlight.Len() + len(intentDriver.proposals.queue),
	}
	if intentDriver.driver != nil {
		status.Intents = intentDriver.assigned.Len()
	}
	return status
}
