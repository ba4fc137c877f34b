package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/inquirer"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/starter"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// Settings joins the settings of the parts.
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
	Allocator     allocator.Settings
	// LeadSettle is how long a starting host waits to hear of a living lead
	// before it takes a cell, so that it does not duel with that lead.
	LeadSettle time.Duration
	// LeadOvertaken is how long a lead whose epoch was refused waits for the lead with
	// the higher one; zero means LeadSettle.
	LeadOvertaken time.Duration
	// LeadJoined is how long a starting host still waits once another host has told it all
	// that it knows; zero makes no difference to LeadSettle.
	LeadJoined time.Duration
	// JoinKeepers makes a keeper without a log wait until the others take it in, in
	// place of founding a log with the keepers that the settings name. A keeper that
	// lost its disk would else vote as if it had never accepted anything.
	JoinKeepers bool
	// Voters is how many voters the keepers' log should have; 0 leaves its members as
	// they are.
	Voters int
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{
		Dispatcher:    dispatcher.DefaultSettings(),
		Forwarder:     forwarder.DefaultSettings(),
		Gossiper:      gossiper.DefaultSettings(),
		Keeper:        keeper.DefaultSettings(),
		Claims:        claimer.DefaultRequesterSettings(),
		Configuration: configurer.DefaultFollowerSettings(),
		Intents:       DefaultIntentSettings(),
		Supervisor:    supervisor.DefaultSettings(),
		Starter:       starter.DefaultSettings(),
		Inquirer:      inquirer.DefaultSettings(),
		Allocator:     allocator.DefaultSettings(),
		LeadSettle:    elector.DefaultSettleTime,
	}
}
