package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/digester"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
	"github.com/stoathitch/stoathitch/pkg/throttler"
)

// Settings combines the settings of the components.
type Settings struct {
	Dispatcher    dispatcher.Settings
	Forwarder     forwarder.Settings
	Gossiper      gossiper.Settings
	Keeper        keeper.Settings
	Claims        claimer.RequesterSettings
	Configuration configurer.FollowerSettings
	Intents       IntentSettings
	Supervisor    supervisor.Settings
	Starter       starter.Settings
	Inquirer      inquirer.Settings
	Digester      digester.Settings
	Allocator     allocator.Settings
	Throttler     throttler.Settings
	// LeadSettleTime is how long a starting host waits for an announcement of a living lead before
	// it takes a cell, so that it doesn't compete with that lead.
	LeadSettleTime time.Duration
	// LeadOvertakenTime is how long a lead whose epoch was rejected waits for the lead with the
	// higher one. Zero means LeadSettleTime.
	LeadOvertakenTime time.Duration
	// LeadJoinedTime is how long a starting host still waits once another host has sent it all that
	// it knows. Zero keeps LeadSettleTime.
	LeadJoinedTime time.Duration
	// JoinKeepers makes a keeper without a log wait until the others add it, instead of founding a
	// log with the keepers that the settings name. Otherwise a keeper that lost its disk would vote
	// as if it had never accepted anything.
	JoinKeepers bool
	// JoiningAs is the incarnation under which a keeper with JoinKeepers waits to be added. It stays the
	// same for as long as the disk does, so that a process that starts again knows its admission.
	// Zero means the process's own incarnation.
	JoiningAs identifier.Incarnation
	// CellCopies is how many keepers store the backend servers of each cell.
	CellCopies int
	// AgreedLayout makes the hosts learn the number of cells of each failure domain from the keepers;
	// Dispatcher.Cells and Forwarder.Cells must be 0.
	AgreedLayout bool
	// AnnounceLayout spreads a fixed number of cells with the membership, so that hosts with other
	// settings are detected. Replays of earlier recordings leave it out.
	AnnounceLayout bool
	// Voters is how many voters the keepers' log should have. 0 leaves the members unchanged.
	Voters int
}

// DefaultSettings returns the daemon's default settings.
func DefaultSettings() Settings {
	return Settings{
		Dispatcher:     dispatcher.DefaultSettings(),
		Forwarder:      forwarder.DefaultSettings(),
		Gossiper:       gossiper.DefaultSettings(),
		Keeper:         keeper.DefaultSettings(),
		Claims:         claimer.DefaultRequesterSettings(),
		Configuration:  configurer.DefaultFollowerSettings(),
		Intents:        DefaultIntentSettings(),
		Supervisor:     supervisor.DefaultSettings(),
		Starter:        starter.DefaultSettings(),
		Inquirer:       inquirer.DefaultSettings(),
		Digester:       digester.DefaultSettings(),
		Allocator:      allocator.DefaultSettings(),
		Throttler:      throttler.DefaultSettings(),
		CellCopies:     3,
		LeadSettleTime: elector.DefaultSettleTime,
	}
}
