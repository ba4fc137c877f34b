package loader

import (
	"net/netip"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Host is one host of the deployment, as the others need to know it.
type Host struct {
	// Host is the host's id.
	Host identifier.HostID `json:"host"`

	// FailureDomain is where the host stands.
	FailureDomain identifier.FailureDomain `json:"failure-domain"`

	// Region is the region of the failure domain.
	Region Region `json:"region,omitzero"`

	// Roles lists what the host does.
	Roles []Role `json:"roles"`

	// CallersAddress is where callers reach it.
	CallersAddress netip.AddrPort `json:"callers-address"`

	// BackendServersAddress is where backend servers reach it.
	BackendServersAddress netip.AddrPort `json:"backend-servers-address,omitzero"`

	// PeersAddress is where the other hosts reach it.
	PeersAddress netip.AddrPort `json:"peers-address"`
}

// HasRole tells whether the host has the role.
func (host *Host) HasRole(role Role) bool { return slices.Contains(host.Roles, role) }
