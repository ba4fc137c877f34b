package gossiper

import "github.com/stoathitch/stoathitch/pkg/identifier"

//go:generate enumer -type=Status -trimprefix=Status -transform=kebab -text
//go:generate enumer -type=Role -trimprefix=Role -transform=kebab -text
//go:generate enumer -type=MessageKind -trimprefix=Message -transform=kebab -text
//go:generate enumer -type=ErrorKind -trimprefix=Error -transform=kebab -text

// Status is what the hosts believe about a member. Within one incarnation and
// refutation a higher status overrides a lower one.
type Status uint8

const (
	// StatusAlive is a member that answers.
	StatusAlive Status = iota
	// StatusSuspect is a member that missed a probe and may still refute.
	StatusSuspect
	// StatusDead is a member that did not refute in time.
	StatusDead
	// StatusLeft is a member that said itself that it leaves.
	StatusLeft
)

// Role is a part that a host plays in the system.
type Role uint8

const (
	// RoleEntry takes submissions from callers.
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

// Member describes one host of the system as it describes itself.
type Member struct {
	Host          identifier.HostID        `cbor:"1,keyasint"`
	FailureDomain identifier.FailureDomain `cbor:"2,keyasint,omitempty"`
	Region        identifier.Region        `cbor:"3,keyasint,omitempty"`
	Roles         []Role                   `cbor:"4,keyasint,omitempty"`
	Addresses     Addresses                `cbor:"5,keyasint"`
	// Incarnation should be higher than that of the host's process before, for
	// instance the wall clock at its start. One that is too low is mended as
	// soon as a peer tells of the higher one.
	Incarnation identifier.Incarnation `cbor:"6,keyasint,omitempty"`
}

// State is a member and the newest that is known about it. States of one host
// are ordered by incarnation, then refutation, then status; the highest wins on
// every host, so that nothing reverts whatever order messages arrive in.
type State struct {
	Member Member `cbor:"1,keyasint"`
	// Refutation is raised by the member itself when it hears that it is
	// suspected or dead.
	Refutation uint64 `cbor:"2,keyasint,omitempty"`
	Status     Status `cbor:"3,keyasint,omitempty"`
}

// Living tells whether the member is to be counted on: alive or only suspected.
func (state State) Living() bool { return state.Status <= StatusSuspect }

// newerThan orders two states of the same host.
func (state State) newerThan(other State) bool {
	if state.Member.Incarnation != other.Member.Incarnation {
		return state.Member.Incarnation > other.Member.Incarnation
	}
	if state.Refutation != other.Refutation {
		return state.Refutation > other.Refutation
	}
	return state.Status > other.Status
}

// Record is a small versioned value. The highest version wins everywhere. A
// record that was withdrawn has an empty value.
type Record struct {
	Key     string `cbor:"1,keyasint"`
	Version uint64 `cbor:"2,keyasint,omitempty"`
	Value   []byte `cbor:"3,keyasint,omitempty"`
}

// MemberRecord is a record that belongs to one incarnation of a member; a new
// incarnation drops the records of the one before.
type MemberRecord struct {
	Host        identifier.HostID      `cbor:"1,keyasint"`
	Incarnation identifier.Incarnation `cbor:"2,keyasint,omitempty"`
	Record      Record                 `cbor:"3,keyasint"`
}
