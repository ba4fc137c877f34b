package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

//go:generate enumer -type=Status -trimprefix=Status -transform=kebab -text
//go:generate enumer -type=Role -trimprefix=Role -transform=kebab -text
//go:generate enumer -type=MessageKind -trimprefix=Message -transform=kebab -text
//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// Status is what the hosts know about a member. Within one incarnation and refutation a higher
// status overrides a lower one.
type Status uint8

const (
	// StatusAlive is a member that answers probes.
	StatusAlive Status = iota
	// StatusSuspect is a member that missed a probe and may still refute the suspicion.
	StatusSuspect
	// StatusDead is a member that did not refute a suspicion in time.
	StatusDead
	// StatusLeft is a member that announced itself that it leaves.
	StatusLeft
)

// Role is a function that a host has in the system.
type Role uint8

const (
	// RoleEntry accepts submissions from callers.
	RoleEntry Role = iota
	// RoleKeeper has a disk and replicates the durable log.
	RoleKeeper
)

// Addresses are where a member listens, each as "ip:port".
type Addresses struct {
	Callers        string `cbor:"1,keyasint,omitempty"`
	BackendServers string `cbor:"2,keyasint,omitempty"`
	Peers          string `cbor:"3,keyasint,omitempty"`
}

// Member describes one host of the system as the host describes itself.
type Member struct {
	Host          identifier.HostID        `cbor:"1,keyasint"`
	FailureDomain identifier.FailureDomain `cbor:"2,keyasint,omitempty"`
	Region        identifier.Region        `cbor:"3,keyasint,omitempty"`
	Roles         []Role                   `cbor:"4,keyasint,omitempty"`
	Addresses     Addresses                `cbor:"5,keyasint"`
	// Incarnation should be higher than that of the host's previous process, for example the wall
	// clock at the start. If it is too low, it is raised as soon as a peer sends the higher one.
	Incarnation identifier.Incarnation `cbor:"6,keyasint,omitempty"`
	// Capacity is what the host has; zero amounts are not stated.
	Capacity identifier.HostCapacity `cbor:"7,keyasint,omitzero"`
}

// State is a member with the newest that is known about it. States of one host are ordered by
// incarnation, then refutation, then status. The highest wins on every host, so that nothing
// reverts whatever the order in which messages arrive.
type State struct {
	Member Member `cbor:"1,keyasint"`
	// Refutation is raised by the member itself when it learns that others list it as suspect or
	// dead.
	Refutation uint64 `cbor:"2,keyasint,omitempty"`
	Status     Status `cbor:"3,keyasint,omitempty"`
}

// Living reports whether the member counts as running: its status is alive or suspect.
func (state State) Living() bool { return state.Status <= StatusSuspect }

// newerThan reports whether state overrides other, a state of the same host.
func (state State) newerThan(other State) bool {
	if state.Member.Incarnation != other.Member.Incarnation {
		return state.Member.Incarnation > other.Member.Incarnation
	}
	if state.Refutation != other.Refutation {
		return state.Refutation > other.Refutation
	}
	return state.Status > other.Status
}

// Record is a small versioned value. The highest version wins on every host. A withdrawn record has
// an empty value.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
}

// MemberRecord is a record that belongs to one incarnation of a member. A new incarnation drops the
// records of the previous one.
type MemberRecord struct {
	Host        identifier.HostID      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint,omitempty"`
	Record      Record                 `cbor:"3,keyasint"`
}
