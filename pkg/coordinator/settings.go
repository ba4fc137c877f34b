package coordinator

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/claimer"
	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/elector"
	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/keeper"
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
	// LeadSettle is how long a starting host waits to hear of a living lead
	// before it takes a cell, so that it does not duel with that lead.
	LeadSettle time.Duration
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
		LeadSettle:    elector.DefaultSettleTime,
	}
}
