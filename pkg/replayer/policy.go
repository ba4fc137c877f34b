package replayer

import (
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
)

// DefaultPolicy is the policy of a replay that names none.
const DefaultPolicy = "cell-lead"

// policy is one way to dispatch: how the settings of a host are filled.
type policy struct {
	name string
	fill func(settings *coordinator.Settings)
}

var policies = []policy{
	{DefaultPolicy, func(*coordinator.Settings) {}},
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
