// Package selector decides which backend server gets the next task. Each policy
// keeps an incremental view of the servers, so that one decision costs less than
// linear time in their number and allocates nothing.
//
// It is pure. A policy that needs chance has its own seeded source.
package selector

import (
	"math/rand/v2"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

//go:generate enumer -type=Kind -trimprefix=Kind -transform=kebab -text -output=kind_enumer.go

// Kind names a policy.
type Kind int

// The policies.
const (
	// KindLeastLoaded takes a server with the most free slots. It is exact where
	// one lead starts all tasks of its servers.
	KindLeastLoaded Kind = iota
	// KindRandom takes any usable server, whether it is busy or not. It is a
	// baseline.
	KindRandom
	// KindTwoChoices takes the freer one of two servers drawn at random. It is a
	// baseline for leads that share servers and see old loads.
	KindTwoChoices
	// KindBlend draws by target share and observed state, within bounds.
	KindBlend
)

// Load is what a lead knows of one server.
type Load struct {
	// Slots is how many tasks the server may run now, by its health.
	Slots identifier.Slots
	// Busy is how many slots are in use, whoever started the tasks, as far as
	// known.
	Busy identifier.Slots
	// Own is how many of the busy slots this lead uses.
	Own identifier.Slots
	// Slowness is the base 2 logarithm of observed run time over what other
	// servers take.
	Slowness float64
	Rack     identifier.RackID
}

// Free returns how many slots are not in use; it is never negative.
func (load Load) Free() identifier.Slots { return max(load.Slots-load.Busy, 0) }

// Policy picks servers. K is how the owner names a server.
type Policy[K comparable] interface {
	// Update puts a usable server into the view or changes its load.
	Update(server K, load Load)
	// Remove takes a server out of the view; unknown ones are ignored.
	Remove(server K)
	// Pick returns the server for the next task. The second result is false when
	// no server may get one now. The owner tells the new load with Update.
	Pick() (K, bool)
	// Free returns the free slots of all servers in the view.
	Free() identifier.Slots
}

// Settings adjusts the policies.
type Settings struct {
	Kind Kind
	// Seed starts the random source of the policies that draw.
	Seed uint64
	// BalancingRate is b of the blend: 1 draws by target share only, 0 by observed
	// state only.
	BalancingRate float64
	// Leads is how many leads share the servers; 1 where each has its own.
	Leads int
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{Kind: KindLeastLoaded, BalancingRate: 0.25, Leads: 1}
}

// New returns an empty policy of the wanted kind.
func New[K comparable](settings Settings) Policy[K] {
	source := rand.New(rand.NewPCG(settings.Seed, settings.Seed^0x9e3779b97f4a7c15))
	switch settings.Kind {
	case KindRandom:
		return &random[K]{source: source, view: newView[K]()}
	case KindTwoChoices:
		return &twoChoices[K]{source: source, view: newView[K]()}
	case KindBlend:
		return newBlend[K](settings, source)
	default:
		return newLeastLoaded[K]()
	}
}
