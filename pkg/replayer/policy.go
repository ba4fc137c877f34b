package replayer

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/selector"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// DefaultPolicy is the policy of a replay that names none: one lead starts all
// tasks of its failure domain.
const DefaultPolicy = "cell-lead"

// policy is one way to dispatch: how the settings of a host are filled.
type policy struct {
	name string
	fill func(settings *coordinator.Settings, deployment *tracer.Deployment)
}

var policies = []policy{
	{DefaultPolicy, func(*coordinator.Settings, *tracer.Deployment) {}},
	// Each entry host leads a share of its own of the backend servers.
	{"cell-each-host", divide},
	// Each entry host starts tasks on all backend servers of the failure domain and
	// sees the starts of others only by refusals and heartbeats.
	{"random", shared(selector.KindRandom)},
	{"two-choices", shared(selector.KindTwoChoices)},
	{"least-loaded", shared(selector.KindLeastLoaded)},
	{"blend", shared(selector.KindBlend)},
}

func divide(settings *coordinator.Settings, deployment *tracer.Deployment) {
	settings.Dispatcher.Cells = deployment.EntryHostsPerFailureDomain
	settings.Forwarder.Cells = deployment.EntryHostsPerFailureDomain
}

func shared(kind selector.Kind) func(*coordinator.Settings, *tracer.Deployment) {
	return func(settings *coordinator.Settings, deployment *tracer.Deployment) {
		divide(settings, deployment)
		settings.Dispatcher.SharedServers = true
		settings.Dispatcher.Selection.Kind = kind
		settings.Dispatcher.Selection.Leads = deployment.EntryHostsPerFailureDomain
	}
}

// Policies lists the names of the policies that a replay can use.
func Policies() []string {
	var names []string
	for _, policy := range policies {
		names = append(names, policy.name)
	}
	return names
}

func findPolicy(name string) (*policy, error) {
	if name == "" {
		name = DefaultPolicy
	}
	for index := range policies {
		if policies[index].name == name {
			return &policies[index], nil
		}
	}
	return nil, newError("choose policy", ErrorUnknownPolicy, eris.Errorf("no policy is named %q; there are %v", name, Policies()))
}
