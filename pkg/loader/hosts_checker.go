package loader

import (
	"fmt"
	"net/netip"
	"slices"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// namedAddress is an address with its key.
type namedAddress struct {
	key     string
	address netip.AddrPort
}

func addressesOf(host *Host) []namedAddress {
	return []namedAddress{
		{"callers-address", host.CallersAddress},
		{"backend-servers-address", host.BackendServersAddress},
		{"peers-address", host.PeersAddress},
	}
}

func (checker *checker) checkFailureDomainList() {
	seen := make(map[string]string)
	for index, domain := range checker.settings.FailureDomains {
		path := fmt.Sprintf("failure-domains[%d]", index)
		checker.name(path, string(domain), "a failure domain")
		checker.unique(seen, path, string(domain), "failure domain")
	}
}

func (checker *checker) checkHosts() {
	seen := make(map[string]string)
	for index := range checker.settings.Hosts {
		host := &checker.settings.Hosts[index]
		path := hostPath(index)
		checker.checkHost(path, host)
		checker.unique(seen, path+".host", string(host.Host), "host")
	}
}

func hostPath(index int) string { return fmt.Sprintf("hosts[%d]", index) }

// addSelf compares this host with its entry in the list, and adds it where it
// has none. Two accounts of one host would have its peers dial an address on
// which it does not listen, which shows only as a host that never joins.
func (checker *checker) addSelf() {
	settings := checker.settings
	self := settings.Self()
	if self.Host == "" {
		return
	}
	index := slices.IndexFunc(settings.Hosts, func(host Host) bool { return host.Host == self.Host })
	if index < 0 {
		settings.Hosts = append(settings.Hosts, self)
		return
	}
	path := hostPath(index)
	listed := settings.Hosts[index]
	sameAsSelf(checker, path, "failure-domain", listed.FailureDomain, self.FailureDomain)
	sameAsSelf(checker, path, "region", listed.Region, self.Region)
	if !slices.Contains(self.Roles, 0) && !sameRoles(listed.Roles, self.Roles) {
		checker.reporter.add(path+".roles", "%v differ from this host's own roles %v; they must be the same", listed.Roles, self.Roles)
	}
	own := addressesOf(&self)
	for position, each := range addressesOf(&listed) {
		sameAsSelf(checker, path, each.key, each.address, own[position].address)
	}
}

func sameRoles(first, second []Role) bool {
	return slices.Equal(slices.Sorted(slices.Values(first)), slices.Sorted(slices.Values(second)))
}

func sameAsSelf[T comparable](checker *checker, path, key string, listed, own T) {
	if listed == own || checker.reporter.reported[key] {
		return
	}
	checker.reporter.add(path+"."+key, "%q differs from this host's own %s %q (line %d); they must be the same",
		fmt.Sprint(listed), key, fmt.Sprint(own), checker.reporter.line(key))
}

// checkDeployment checks what must hold between the hosts.
func (checker *checker) checkDeployment() {
	settings := checker.settings
	if len(settings.Hosts) > maximalHosts {
		checker.reporter.add("hosts", "has %d hosts; a deployment has at most %d", len(settings.Hosts), maximalHosts)
	}
	checker.checkKeepers()
	addresses := make(map[netip.AddrPort]string)
	regions := make(map[identifier.FailureDomain]int)
	for index := range settings.Hosts {
		host := &settings.Hosts[index]
		checker.checkUniqueAddresses(addresses, index, host)
		checker.checkKnownFailureDomain(index, host)
		checker.checkOneRegion(regions, index, host)
	}
}

func (checker *checker) checkKeepers() {
	keepers := 0
	for index := range checker.settings.Hosts {
		if checker.settings.Hosts[index].HasRole(RoleKeeper) {
			keepers++
		}
	}
	if keepers > maximalKeepers {
		checker.reporter.add("hosts", `has %d hosts with the role "keeper"; at most %d may have it`, keepers, maximalKeepers)
	}
}

// pathOf returns the path of a key of the host at index. The host that addSelf
// added has none of its own in the file: its keys are those at the top.
func (checker *checker) pathOf(index int, key string) string {
	path := hostPath(index)
	if _, listed := checker.reporter.offsets[path]; listed {
		return path + "." + key
	}
	return key
}

// checkUniqueAddresses: two listeners on one address would leave the later one
// dead at its start, on whichever host starts last.
func (checker *checker) checkUniqueAddresses(seen map[netip.AddrPort]string, index int, host *Host) {
	for _, each := range addressesOf(host) {
		if !each.address.IsValid() {
			continue
		}
		path := checker.pathOf(index, each.key)
		address := netip.AddrPortFrom(each.address.Addr().Unmap(), each.address.Port())
		if first, again := seen[address]; again {
			checker.reporter.add(path, "%s is already %s (line %d); each address needs a port of its own",
				address, first, checker.reporter.line(first))
			continue
		}
		seen[address] = path
	}
}

func (checker *checker) checkKnownFailureDomain(index int, host *Host) {
	known := checker.settings.FailureDomains
	if len(known) == 0 || host.FailureDomain == "" || slices.Contains(known, host.FailureDomain) {
		return
	}
	names := make([]string, len(known))
	for position, domain := range known {
		names[position] = string(domain)
	}
	name := string(host.FailureDomain)
	checker.reporter.add(checker.pathOf(index, "failure-domain"), "unknown failure domain %q; it must be %s%s",
		name, oneOf(names), didYouMean(name, names))
}

func (checker *checker) checkOneRegion(seen map[identifier.FailureDomain]int, index int, host *Host) {
	if host.FailureDomain == "" || checker.reporter.reported[checker.pathOf(index, "region")] {
		return
	}
	first, again := seen[host.FailureDomain]
	if !again {
		seen[host.FailureDomain] = index
		return
	}
	other := checker.settings.Hosts[first].Region
	if other != host.Region {
		checker.reporter.add(checker.pathOf(index, "region"), "failure domain %q is in region %q here and in %q at %s; it has one region",
			host.FailureDomain, host.Region, other, checker.pathOf(first, "region"))
	}
}
