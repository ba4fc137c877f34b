package trier

import (
	"fmt"
	"net"
	"net/netip"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

func failureDomains() []identifier.FailureDomain {
	return []identifier.FailureDomain{"thu-duc", "tan-binh", "binh-chanh"}
}

// trialSettings makes the settings of every host on free loopback ports.
func trialSettings() ([]*loader.Settings, error) {
	var hosts []loader.Host
	ports, err := freeAddresses(3 * hostsPerFailureDomain * len(failureDomains()))
	if err != nil {
		return nil, err
	}
	for _, failureDomain := range failureDomains() {
		for number := range hostsPerFailureDomain {
			hosts = append(hosts, loader.Host{
				Host:                  identifier.HostID(fmt.Sprintf("%s-entry-%d", failureDomain, number)),
				FailureDomain:         failureDomain,
				Roles:                 []loader.Role{loader.RoleEntry},
				CallersAddress:        ports[0],
				BackendServersAddress: ports[1],
				PeersAddress:          ports[2],
			})
			ports = ports[3:]
		}
	}
	all := make([]*loader.Settings, 0, len(hosts))
	for _, host := range hosts {
		all = append(all, settingsOf(host, hosts))
	}
	return all, nil
}

func settingsOf(host loader.Host, hosts []loader.Host) *loader.Settings {
	settings := loader.Defaults()
	settings.Host = host.Host
	settings.FailureDomain = host.FailureDomain
	settings.Roles = host.Roles
	settings.CallersAddress = host.CallersAddress
	settings.BackendServersAddress = host.BackendServersAddress
	settings.PeersAddress = host.PeersAddress
	settings.FailureDomains = failureDomains()
	settings.Hosts = hosts
	return &settings
}

// freeAddresses asks the system for free loopback ports. They are held until all
// are known, so that no two are the same.
func freeAddresses(count int) ([]netip.AddrPort, error) {
	addresses := make([]netip.AddrPort, 0, count)
	for range count {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return nil, eris.Wrap(err, "no free port on loopback")
		}
		defer func() { _ = listener.Close() }()
		addresses = append(addresses, listener.Addr().(*net.TCPAddr).AddrPort())
	}
	return addresses, nil
}
