package replayer

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/selector"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

// DefaultPolicy is the policy of a replay without a stated one: a single lead starts all
// tasks of its failure domain.
const DefaultPolicy = "cell-lead"

// policy is a named variant of dispatching, applied to the settings of each host.
type policy struct {
	name  string
	apply func(settings *coordinator.Settings, deployment *tracer.Deployment)
}

var policies = []policy{
	{DefaultPolicy, func(*coordinator.Settings, *tracer.Deployment) {}},
	// Each entry host leads a disjoint subset of the backend servers.
	{"cell-each-host", oneCellPerHost},
	// Each entry host starts tasks on all backend servers of the failure domain and
	// learns of the starts of others only through refusals and heartbeats.
	{"random", sharedServers(selector.KindRandom)},
	{"two-choices", sharedServers(selector.KindTwoChoices)},
	{"least-loaded", sharedServers(selector.KindLeastLoaded)},
	{"blend", sharedServers(selector.KindBlend)},
}

func oneCellPerHost(settings *coordinator.Settings, deployment *tracer.Deployment) {
	settings.Dispatcher.Cells = deployment.EntryHostsPerFailureDomain
	settings.Forwarder.Cells = deployment.EntryHostsPerFailureDomain
}

func sharedServers(kind selector.Kind) func(*coordinator.Settings, *tracer.Deployment) {
	return func(settings *coordinator.Settings, deployment *tracer.Deployment) {
		oneCellPerHost(settings, deployment)
		settings.Dispatcher.SharedServers = true
		settings.Dispatcher.Selection.Kind = kind
		settings.Dispatcher.Selection.Leads = deployment.EntryHostsPerFailureDomain
	}
}

// Policies returns the names of all policies, the default first.
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
