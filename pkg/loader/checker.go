package loader

import (
	"fmt"
	"net/netip"
	"regexp"
	"slices"
	"strings"
)

const (
	// maximalHosts is the size that membership is built for.
	maximalHosts = 200
	// maximalKeepers is how many hosts may be set aside for control.
	maximalKeepers = 12
	// maximalNameLength keeps names short enough for logs and metrics.
	maximalNameLength = 64
)

var namePattern = regexp.MustCompile(`^[a-z0-9]+(-[a-z0-9]+)*$`)

// checker looks for values that are of the right type and still can't be.
type checker struct {
	reporter *reporter
	settings *Settings
}

func (checker *checker) check() {
	self := checker.settings.Self()
	checker.checkHost("", &self)
	checker.checkFailureDomainList()
	checker.checkHosts()
	checker.addSelf()
	checker.checkDeployment()
	checker.checkDataFolder()
	checker.checkTLS()
	checker.checkAccess()
	checker.checkNumbers()
	checker.checkConnections()
	checker.checkTeams()
	checker.checkClasses()
}

// name checks the name at path. what says what it is the name of.
func (checker *checker) name(path, name, what string) {
	switch {
	case name == "":
		checker.reporter.add(path, "missing; it must be the name of %s", what)
	case len(name) > maximalNameLength:
		checker.reporter.add(path, "is longer than %d characters", maximalNameLength)
	case !namePattern.MatchString(name):
		checker.reporter.add(path, `%q must be kebab case: a-z, 0-9 and single "-" between, such as "thu-duc-entry-0"`, name)
	}
}

func (checker *checker) optionalName(path, name, what string) {
	if name != "" {
		checker.name(path, name, what)
	}
}

func (checker *checker) checkHost(path string, host *Host) {
	checker.name(joinPath(path, "host"), string(host.Host), "the host")
	checker.name(joinPath(path, "failure-domain"), string(host.FailureDomain), "the failure domain")
	checker.optionalName(joinPath(path, "region"), string(host.Region), "the region")
	checker.checkRoles(joinPath(path, "roles"), host.Roles)
	checker.checkAddress(joinPath(path, "callers-address"), host.CallersAddress, true)
	checker.checkAddress(joinPath(path, "backend-servers-address"), host.BackendServersAddress, host.HasRole(RoleEntry))
	checker.checkAddress(joinPath(path, "peers-address"), host.PeersAddress, true)
}

func (checker *checker) checkRoles(path string, roles []Role) {
	if len(roles) == 0 {
		checker.reporter.add(path, "is empty; a host has at least one of the roles %s", oneOf(RoleStrings()))
	}
	for index, role := range roles {
		if role != 0 && slices.Contains(roles[:index], role) {
			checker.reporter.add(fmt.Sprintf("%s[%d]", path, index), "%q stands twice; keep one", role)
		}
	}
}

func (checker *checker) checkAddress(path string, address netip.AddrPort, needed bool) {
	switch {
	case address == netip.AddrPort{}:
		if needed {
			checker.reporter.add(path, "missing; it must be %s", wantedText(&address))
		}
	case address.Port() == 0:
		checker.reporter.add(path, "%q has port 0; the other side needs a fixed port (1 to 65535)", address)
	case address.Addr().Unmap().IsUnspecified():
		checker.reporter.add(path, "%q means every address; name the one that the other side reaches", address)
	case address.Addr().Unmap().IsMulticast():
		checker.reporter.add(path, "%q is a multicast address; name the host's own", address)
	}
}

// checkDataFolder: a keeper without a folder would promise that what it accepted
// lasts and lose it at its first restart.
func (checker *checker) checkDataFolder() {
	if checker.settings.HasRole(RoleKeeper) && checker.settings.DataFolder == "" {
		checker.reporter.add("data-folder", `missing; a host with the role "keeper" needs a folder for its files`)
	}
}

func (checker *checker) checkTLS() {
	tls := &checker.settings.TLS
	files := []struct{ key, file string }{
		{"certificate-file", tls.CertificateFile},
		{"key-file", tls.KeyFile},
		{"authority-file", tls.AuthorityFile},
	}
	given := 0
	for _, each := range files {
		if each.file != "" {
			given++
		}
	}
	if given == 0 {
		checker.checkInsecure()
		return
	}
	for _, each := range files {
		if each.file == "" {
			checker.reporter.add("tls."+each.key, "missing; tls needs all of certificate-file, key-file and authority-file")
		}
	}
}

// checkInsecure: without TLS anybody on the network can submit work in a team's
// name and read its answers, and nothing would show it. So it must be asked for.
func (checker *checker) checkInsecure() {
	if checker.settings.AllowInsecure {
		return
	}
	for _, host := range checker.settings.Hosts {
		for _, each := range addressesOf(&host) {
			if each.address.IsValid() && !each.address.Addr().Unmap().IsLoopback() {
				checker.reporter.add("tls", `no files are given although %s is no loopback address; give certificate-file, `+
					`key-file and authority-file, or set "allow-insecure": true`, each.address)
				return
			}
		}
	}
}

func (checker *checker) checkTeams() {
	seen := make(map[string]string)
	for index, team := range checker.settings.Teams {
		path := fmt.Sprintf("teams[%d]", index)
		checker.name(path+".team", string(team.Team), "the team")
		checker.unique(seen, path+".team", string(team.Team), "team")
		atLeast(checker, path+".tasks-per-second", team.TasksPerSecond, 0)
		atLeast(checker, path+".tasks-in-flight", team.TasksInFlight, 0)
		between(checker, path+".weight", team.Weight, 1, maximalWeight)
		atLeast(checker, path+".milli-cpu", team.MilliCPU, 0)
		atLeast(checker, path+".memory-bytes", team.Memory, 0)
		atLeast(checker, path+".accelerators", team.Accelerators, 0)
	}
}

func (checker *checker) checkClasses() {
	seen := make(map[string]string)
	for index, class := range checker.settings.Classes {
		path := fmt.Sprintf("classes[%d]", index)
		checker.name(path+".class", string(class.Class), "the class")
		checker.unique(seen, path+".class", string(class.Class), "class")
		between(checker, path+".weight", class.Weight, 1, maximalWeight)
	}
}

// unique reports the name at path if another path of seen has it.
func (checker *checker) unique(seen map[string]string, path, name, what string) {
	if name == "" {
		return
	}
	if first, again := seen[name]; again {
		checker.reporter.add(path, "%s %q stands already at %s (line %d); each needs a name of its own",
			what, name, strings.TrimSuffix(first, "."+what), checker.reporter.line(first))
		return
	}
	seen[name] = path
}
