// Package loader reads the settings of one host of the system: a JSON file with
// kebab case names. It checks the file strictly and reports every problem at
// once, each with its line, its path and what would be right. The daemon and
// `stoathitch settings check` use this same code.
package loader

import (
	"net/netip"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// Settings is everything that one host learns at its start. Load and Parse fill
// what the file leaves out from Defaults.
type Settings struct {
	// Host is this host's id, which no other host of the deployment has.
	Host identifier.HostID `json:"host"`

	// FailureDomain is where this host stands.
	FailureDomain identifier.FailureDomain `json:"failure-domain"`

	// Region is the region of the failure domain.
	Region Region `json:"region,omitzero"`

	// Roles lists what this host does: `entry` serves callers and backend servers,
	// `keeper` holds the replicated log on its disk.
	Roles []Role `json:"roles"`

	// CallersAddress is the IP number and port where callers reach this host by
	// HTTP, with its health paths and metrics.
	CallersAddress netip.AddrPort `json:"callers-address"`

	// BackendServersAddress is the IP number and port where backend servers open
	// their gRPC stream. Only an entry host needs it.
	BackendServersAddress netip.AddrPort `json:"backend-servers-address,omitzero"`

	// PeersAddress is the IP number and port where the other hosts reach this one
	// by gRPC.
	PeersAddress netip.AddrPort `json:"peers-address"`

	// DataFolder is the folder of a keeper's files. A keeper needs it, another
	// host may have one. It is made at the start if it is missing. A relative path starts from the folder of the
	// settings file.
	DataFolder string `json:"data-folder,omitzero"`

	// FailureDomains lists the failure domains of the deployment. Each host must
	// stand in one of them, so that a misspelt name doesn't found a failure domain.
	// Without the list, those of `hosts` are taken.
	FailureDomains []identifier.FailureDomain `json:"failure-domains,omitzero"`

	// Hosts lists all hosts of the deployment. This host may be left out: it is then
	// added from the keys above. If it is listed, the entry must say the same.
	Hosts []Host `json:"hosts"`

	// Log says what is logged.
	Log Log `json:"log,omitzero"`

	// Capacity is what this host has, such as its share of processors. It bounds
	// connections.per-listener, limits.queued-bytes and limits.jobs-in-memory.
	Capacity Capacity `json:"capacity,omitzero"`

	// Limits bounds what callers may send and what this host holds in memory.
	Limits Limits `json:"limits,omitzero"`

	// Timeouts holds the intervals after which something is given up or forgotten.
	Timeouts Timeouts `json:"timeouts,omitzero"`

	// Connections bounds what one connection may hold.
	Connections Connections `json:"connections,omitzero"`

	// Dispatch says how tasks are spread over backend servers.
	Dispatch Dispatch `json:"dispatch,omitzero"`

	// Teams lists the teams with their quotas. A team that is not listed gets the
	// quota of a listed team without any limit, with weight 1.
	Teams []Team `json:"teams,omitzero"`

	// Classes lists the urgency classes. A class that is not listed gets weight 1
	// and is not urgent.
	Classes []Class `json:"classes,omitzero"`

	// TLS names the files for mutual TLS between the hosts and to backend servers.
	TLS TLS `json:"tls,omitzero"`

	// Access says how callers and operators prove who they are. With neither of its
	// files nobody has to.
	Access Access `json:"access,omitzero"`

	// AllowInsecure lets this host speak without TLS, and to callers who don't prove
	// who they are. Without it, `tls` and `access` are needed unless all addresses
	// are loopback ones.
	AllowInsecure bool `json:"allow-insecure,omitzero"`
}

// Region names a group of failure domains that lie near each other.
type Region string

// Self returns this host as an entry of the deployment's hosts.
func (settings *Settings) Self() Host {
	return Host{
		Host:                  settings.Host,
		FailureDomain:         settings.FailureDomain,
		Region:                settings.Region,
		Roles:                 settings.Roles,
		CallersAddress:        settings.CallersAddress,
		BackendServersAddress: settings.BackendServersAddress,
		PeersAddress:          settings.PeersAddress,
	}
}

// HasRole tells whether this host has the role.
func (settings *Settings) HasRole(role Role) bool {
	self := settings.Self()
	return self.HasRole(role)
}
