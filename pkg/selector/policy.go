// Package selector decides which backend server gets the next task. Each policy
// keeps an incremental view of the servers, so that a decision takes less than
// linear time in the number of servers and allocates nothing.
//
// It does no I/O. Policies that draw at random use their own seeded source.
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
	// KindLeastLoaded picks a server with the most free slots. It is exact when a
	// single lead starts all tasks of its servers.
	KindLeastLoaded Kind = iota
	// KindRandom picks any usable server at random, even a fully busy one. It is a
	// baseline for comparison.
	KindRandom
	// KindTwoChoices picks the one with more free slots of two servers drawn at random
	// (power of two choices). It is a baseline for leads that share servers and see
	// stale loads.
	KindTwoChoices
	// KindBlend draws by a mixture of the servers' share of all slots and their share of
	// the free slots, with a limit per server.
	KindBlend
)

// Load is a lead's last known load of one server.
type Load struct {
	// Slots is how many tasks the server may run concurrently, given its health.
	Slots identifier.Slots
	// Busy is the last known number of slots in use, whichever lead started the tasks.
	Busy identifier.Slots
	// Own is how many of the busy slots are used by tasks of this lead.
	Own identifier.Slots
	// Slowness is the base 2 logarithm of the server's run times over those of other
	// servers.
	Slowness float64
	Rack     identifier.RackID
}

// Free returns the number of slots that are not in use, never less than 0.
func (load Load) Free() identifier.Slots { return max(load.Slots-load.Busy, 0) }

// Policy picks servers. K is the key by which the owner identifies a server.
type Policy[K comparable] interface {
	// Update adds a usable server to the view or changes its load.
	Update(server K, load Load)
	// Remove removes a server from the view. Unknown servers are ignored.
	Remove(server K)
	// Pick returns the server for the next task. The second result is false when no
	// server may get one now. Pick leaves loads unchanged; the owner passes the new load
	// to Update.
	Pick() (K, bool)
	// Free returns the total number of free slots of the servers in the view.
	Free() identifier.Slots
}

// Settings configures a policy.
type Settings struct {
	Kind Kind
	// Seed initializes the random source of the policies that draw at random.
	Seed uint64
	// BalancingRate is b in KindBlend: 1 draws by the share of all slots only, 0 by the
	// share of the free slots only.
	BalancingRate float64
	// Leads is how many leads share the servers, 1 when each lead has its own.
	Leads int
}

// DefaultSettings returns the settings that the daemon starts from.
func DefaultSettings() Settings {
	return Settings{Kind: KindLeastLoaded, BalancingRate: 0.25, Leads: 1}
}

// New returns a policy of settings.Kind with no servers.
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
