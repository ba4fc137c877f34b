package trier

import (
	"fmt"
	"net"
	"net/netip"
	"path/filepath"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

func failureDomains() []identifier.FailureDomain {
	return []identifier.FailureDomain{"thu-duc", "tan-binh", "binh-chanh"}
}

// trialSettings makes the settings of every host on free loopback ports.
func trialSettings(dataFolder string) ([]*loader.Settings, error) {
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
				Roles:                 rolesOf(number),
				CallersAddress:        ports[0],
				BackendServersAddress: ports[1],
				PeersAddress:          ports[2],
			})
			ports = ports[3:]
		}
	}
	all := make([]*loader.Settings, 0, len(hosts))
	for _, host := range hosts {
		settings := settingsOf(host, hosts)
		settings.DataFolder = filepath.Join(dataFolder, string(host.Host))
		all = append(all, settings)
	}
	return all, nil
}

// rolesOf makes the first host of each failure domain a keeper.
func rolesOf(number int) []loader.Role {
	if number == 0 {
		return []loader.Role{loader.RoleEntry, loader.RoleKeeper}
	}
	return []loader.Role{loader.RoleEntry}
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
