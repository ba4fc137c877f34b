// Package initializer writes the settings of a whole deployment on one machine,
// for trying it by hand: one file for each host, all on 127.0.0.1.
package initializer

import (
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"slices"

	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

// Limits of a generated deployment.
const (
	// MaximalHosts is the most hosts that Run writes settings for.
	MaximalHosts = 200
	// MaximalKeepers is the most hosts that Run makes keepers. Host 0 of each failure
	// domain beyond the first MaximalKeepers is an entry host only.
	MaximalKeepers = 12
)

// Port ranges of a generated deployment, counted from the base port. Each range
// has room for MaximalHosts, so that no two addresses collide.
const (
	backendServersOffset = MaximalHosts
	peersOffset          = 2 * MaximalHosts
	portsNeeded          = 3 * MaximalHosts
)

const (
	lowestBasePort  = 1024
	highestBasePort = 65536 - portsNeeded
)

// Initializer writes the settings of a deployment.
type Initializer struct {
	// Folder receives the files. It is made if it is missing.
	Folder string
	// FailureDomains names the failure domains of the deployment, in order.
	FailureDomains []identifier.FailureDomain
	// EntryHosts is the number of entry hosts of each failure domain.
	EntryHosts int
	// BasePort is the port where callers reach the first host; that of the i-th host,
	// counted over all failure domains in order, lies i higher.
	BasePort int
	// Force overwrites files that are there already.
	Force bool
}

// GeneratedHost is one host whose settings were written.
type GeneratedHost struct {
	// Host is the host's id.
	Host identifier.HostID `json:"host"`
	// File is its settings file.
	File string `json:"file"`
	// Command is the shell command that starts it.
	Command string `json:"command"`
}

// Run writes the files and returns the hosts in the order of their ports. It
// checks everything before it writes the first file. The error is an *Error.
func (initializer *Initializer) Run() ([]GeneratedHost, error) {
	if err := initializer.check(); err != nil {
		return nil, &Error{Operation: "check", Kind: ErrorKindInvalid, Err: err}
	}
	files, err := initializer.render()
	if err != nil {
		return nil, &Error{Operation: "render", Kind: ErrorKindInvalid, Err: err}
	}
	if err := initializer.checkFolder(files); err != nil {
		return nil, &Error{Operation: "write", Kind: ErrorKindExists, Err: err}
	}
	if err := initializer.write(files); err != nil {
		return nil, &Error{Operation: "write", Kind: ErrorKindUnwritable, Err: err}
	}
	return generatedHosts(files), nil
}

func (initializer *Initializer) check() error {
	domains := len(initializer.FailureDomains)
	hosts := domains * initializer.EntryHosts
	switch {
	case domains == 0:
		return eris.New("no failure domain is given; give at least one")
	case initializer.EntryHosts < 1:
		return eris.Errorf("%d entry hosts a failure domain; give at least 1", initializer.EntryHosts)
	case initializer.EntryHosts > MaximalHosts || hosts > MaximalHosts:
		return eris.Errorf("%d failure domains of %d entry hosts each; a deployment has at most %d hosts",
			domains, initializer.EntryHosts, MaximalHosts)
	case initializer.BasePort < lowestBasePort || initializer.BasePort > highestBasePort:
		return eris.Errorf("base port %d; it must be from %d to %d, as the deployment uses the %d ports from it",
			initializer.BasePort, lowestBasePort, highestBasePort, portsNeeded)
	default:
		return nil
	}
}

// settingsFile is one file to write.
type settingsFile struct {
	host    identifier.HostID
	path    string
	content []byte
}

// render returns all files. Each has passed the check that the daemon makes.
func (initializer *Initializer) render() ([]settingsFile, error) {
	dataFolder, err := filepath.Abs(filepath.Join(initializer.Folder, "data"))
	if err != nil {
		return nil, eris.Wrap(err, "find the data folder")
	}
	hosts := initializer.hosts()
	files := make([]settingsFile, 0, len(hosts))
	for _, host := range hosts {
		settings := initializer.settingsOf(host, hosts)
		settings.DataFolder = filepath.Join(dataFolder, string(host.Host))
		file, err := initializer.renderFile(settings)
		if err != nil {
			return nil, err
		}
		files = append(files, file)
	}
	return files, nil
}

func (initializer *Initializer) renderFile(settings *loader.Settings) (settingsFile, error) {
	path := filepath.Join(initializer.Folder, string(settings.Host)+".json")
	content, err := json.MarshalIndent(settings, "", "  ")
	if err != nil {
		return settingsFile{}, eris.Wrap(err, "encode settings")
	}
	content = append(content, '\n')
	if _, err := loader.Parse(path, content); err != nil {
		return settingsFile{}, eris.Wrap(err, "the settings would be wrong")
	}
	return settingsFile{host: settings.Host, path: path, content: content}, nil
}

func (initializer *Initializer) hosts() []loader.Host {
	var hosts []loader.Host
	for domainIndex, domain := range initializer.FailureDomains {
		for number := range initializer.EntryHosts {
			host := initializer.newHost(domain, number, len(hosts))
			if number == 0 && domainIndex < MaximalKeepers {
				host.Roles = append(host.Roles, loader.RoleKeeper)
			}
			hosts = append(hosts, host)
		}
	}
	return hosts
}

func (initializer *Initializer) newHost(domain identifier.FailureDomain, number, index int) loader.Host {
	port := initializer.BasePort + index
	return loader.Host{
		Host:                  identifier.HostID(fmt.Sprintf("%s-entry-%d", domain, number)),
		FailureDomain:         domain,
		Roles:                 []loader.Role{loader.RoleEntry},
		CallersAddress:        loopback(port),
		BackendServersAddress: loopback(port + backendServersOffset),
		PeersAddress:          loopback(port + peersOffset),
	}
}

func loopback(port int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(port))
}

func (initializer *Initializer) settingsOf(host loader.Host, hosts []loader.Host) *loader.Settings {
	return &loader.Settings{
		Host:                  host.Host,
		FailureDomain:         host.FailureDomain,
		Roles:                 host.Roles,
		CallersAddress:        host.CallersAddress,
		BackendServersAddress: host.BackendServersAddress,
		PeersAddress:          host.PeersAddress,
		FailureDomains:        initializer.FailureDomains,
		Hosts:                 hosts,
	}
}

// checkFolder refuses a folder with files that Run would overwrite, unless it is
// forced, and one with settings of other hosts, which would be taken for part of
// this deployment.
func (initializer *Initializer) checkFolder(files []settingsFile) error {
	present, err := filepath.Glob(filepath.Join(escapeGlob(initializer.Folder), "*.json"))
	if err != nil {
		return eris.Wrap(err, "list the folder")
	}
	for _, path := range present {
		ours := slices.ContainsFunc(files, func(file settingsFile) bool { return filepath.Clean(file.path) == filepath.Clean(path) })
		switch {
		case !ours:
			return eris.Errorf("%s is no file of this deployment; remove it or take another folder", path)
		case !initializer.Force:
			return eris.Errorf("%s is there already; force overwriting it or take another folder", path)
		}
	}
	return nil
}

// write replaces each file as a whole: a host that starts at the same time, or a
// crash, finds the old file or the new one and never half of one.
func (initializer *Initializer) write(files []settingsFile) error {
	if err := os.MkdirAll(initializer.Folder, 0o755); err != nil {
		return eris.Wrap(err, "make the folder")
	}
	for _, file := range files {
		if err := renameio.WriteFile(file.path, file.content, 0o644); err != nil {
			return eris.Wrapf(err, "write %s", file.path)
		}
	}
	return nil
}

func generatedHosts(files []settingsFile) []GeneratedHost {
	hosts := make([]GeneratedHost, 0, len(files))
	for _, file := range files {
		command := "stoathitchd --settings " + ShellQuote(file.path)
		hosts = append(hosts, GeneratedHost{Host: file.host, File: file.path, Command: command})
	}
	return hosts
}
