package coordinator

import (
	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/explainer"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// Status is what operators see of a host.
type Status struct {
	Host          identifier.HostID        `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	Roles         []gossiper.Role          `json:"roles"`
	Callers       string                   `json:"callers-address"`
	// Capacity is what the host states in its settings.
	Capacity      identifier.HostCapacity  `json:"capacity,omitzero"`
	Draining      bool                     `json:"draining"`
	Unanswered    int                      `json:"unanswered"`
	ConfigVersion identifier.ConfigVersion `json:"config-version"`
	// Evacuated are the failure domains where nothing is started, by the configuration last known
	// here.
	Evacuated messenger.EvacuatedDomains `json:"evacuated,omitempty"`
	Hosts     []HostStatus               `json:"hosts"`
	Cells     []CellStatus               `json:"cells"`
	// Servers are the backend servers that have announced themselves here.
	Servers []dispatcher.ServerStatus `json:"backend-servers"`
	// KindSpeeds are the mean speeds of the kinds of backend servers in the cells that this host leads,
	// as far as they differ.
	KindSpeeds []allocator.KindSpeed `json:"kind-speeds,omitempty"`
	// Work counts the work of the cells that this host leads.
	Work dispatcher.WorkStatus `json:"work"`
	// Overload describes whether this host is overloaded.
	Overload OverloadStatus `json:"overload"`
	// Intents describes the workers and the intents that this host drives.
	Intents IntentStatus `json:"intents"`
	// Teams has the counts of Work for each team.
	Teams  []dispatcher.TeamStatus `json:"teams"`
	Keeper *keeper.Status          `json:"keeper,omitempty"`
}

// HostStatus is another host as seen from this one.
type HostStatus struct {
	Host          identifier.HostID        `json:"host"`
	FailureDomain identifier.FailureDomain `json:"failure-domain"`
	Status        gossiper.Status          `json:"status"`
	Roles         []gossiper.Role          `json:"roles"`
	Callers       string                   `json:"callers-address"`
	// Capacity is what the host states, if that is plausible.
	Capacity      identifier.HostCapacity `json:"capacity,omitzero"`
	ConfigVersion string                  `json:"config-version,omitempty"`
}

// CellStatus is the lead of a cell of the own failure domain.
type CellStatus struct {
	Cell  messenger.CellNumber `json:"cell"`
	Lead  identifier.HostID    `json:"lead"`
	Epoch identifier.Epoch     `json:"epoch"`
}

// Explain returns the decisions on a submission that this host still has. It returns nil before the
// first Tick.
func (coordinator *Coordinator) Explain(submission identifier.SubmissionID) []explainer.Step {
	if coordinator.dispatcher == nil {
		return nil
	}
	return coordinator.dispatcher.Explain(submission)
}

func (coordinator *Coordinator) status() Status {
	status := Status{
		Host:          coordinator.Self.Host,
		FailureDomain: coordinator.Self.FailureDomain,
		Draining:      coordinator.draining,
		Unanswered:    coordinator.forwarder.Unanswered(),
		ConfigVersion: coordinator.follower.Version(),
		Evacuated:     coordinator.evacuated(),
		Roles:         coordinator.Self.Roles,
		Callers:       coordinator.Self.Addresses.Callers,
		Capacity:      coordinator.Self.Capacity,
		Servers:       coordinator.dispatcher.Servers(),
		Work:          coordinator.dispatcher.Work(),
		Overload:      coordinator.overload.status,
		Intents:       coordinator.intentDriver.status(),
		Teams:         coordinator.dispatcher.Teams(),
	}
	for _, cellAllocator := range coordinator.allocators {
		if cellAllocator.allocator.Leads() {
			status.KindSpeeds = append(status.KindSpeeds, cellAllocator.allocator.KindSpeeds()...)
		}
	}
	for _, state := range coordinator.gossiper.Members() {
		if state.Member.Host == coordinator.Self.Host {
			continue
		}
		status.Hosts = append(status.Hosts, coordinator.hostStatus(state))
	}
	for number := range coordinator.cells() {
		cell := messenger.CellNumber(number)
		host, epoch := coordinator.elector.Lead(coordinator.Self.FailureDomain, cell)
		status.Cells = append(status.Cells, CellStatus{Cell: cell, Lead: host, Epoch: epoch})
	}
	if coordinator.keeper != nil {
		keeperStatus := coordinator.keeper.Status()
		status.Keeper = &keeperStatus
	}
	return status
}

func (coordinator *Coordinator) hostStatus(state gossiper.State) HostStatus {
	member := state.Member
	version, _ := coordinator.gossiper.Record(member.Host, configRecordKey)
	return HostStatus{
		Host:          member.Host,
		FailureDomain: member.FailureDomain,
		Status:        state.Status,
		Roles:         member.Roles,
		Callers:       member.Addresses.Callers,
		Capacity:      member.Capacity.OrUnknown(),
		ConfigVersion: string(version.Value),
	}
}
