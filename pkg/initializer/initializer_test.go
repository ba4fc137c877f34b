package initializer_test

import (
	"errors"
	"fmt"
	"net/netip"
	"os"
	"path/filepath"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/initializer"
	"github.com/stoathitch/stoathitch/pkg/loader"
)

func newInitializer(folder string) *initializer.Initializer {
	return &initializer.Initializer{
		Folder:         folder,
		FailureDomains: []identifier.FailureDomain{"thu-duc", "tan-binh", "binh-chanh"},
		EntryHosts:     3,
		BasePort:       7000,
	}
}

func TestRunWritesDeployment(t *testing.T) {
	folder := filepath.Join(t.TempDir(), "new", "folder")
	hosts, err := newInitializer(folder).Run()
	if err != nil {
		t.Fatal(err)
	}
	if len(hosts) != 9 {
		t.Fatalf("Run() wrote %d hosts, want 9", len(hosts))
	}
	for index, host := range hosts {
		checkHost(t, folder, index, host)
	}
}

func checkHost(t *testing.T, folder string, index int, host initializer.GeneratedHost) {
	t.Helper()
	settings, err := loader.Load(host.File)
	if err != nil {
		t.Fatal(err)
	}
	name := fmt.Sprintf("%s-entry-%d", settings.FailureDomain, index%3)
	if string(settings.Host) != name || host.File != filepath.Join(folder, name+".json") {
		t.Errorf("host %d is %s in %s, want %s", index, settings.Host, host.File, name)
	}
	if want := netip.MustParseAddrPort(fmt.Sprintf("127.0.0.1:%d", 7000+index)); settings.CallersAddress != want {
		t.Errorf("%s: callers-address = %s, want %s", name, settings.CallersAddress, want)
	}
	if got, want := settings.HasRole(loader.RoleKeeper), index%3 == 0; got != want {
		t.Errorf("%s: keeper = %t, want %t", name, got, want)
	}
	if want := filepath.Join(folder, "data", name); settings.DataFolder != want {
		t.Errorf("%s: data-folder = %s, want %s", name, settings.DataFolder, want)
	}
	if want := "stoathitchd --settings " + host.File; host.Command != want {
		t.Errorf("%s: command = %s, want %s", name, host.Command, want)
	}
}

// TestRunKeepsToLargestSize writes 200 hosts of 20 failure domains: no address
// collides (the loader checks that) and no more hosts than allowed are keepers.
func TestRunKeepsToLargestSize(t *testing.T) {
	large := newInitializer(t.TempDir())
	large.EntryHosts = 10
	large.FailureDomains = nil
	for number := range 20 {
		large.FailureDomains = append(large.FailureDomains, identifier.FailureDomain(fmt.Sprintf("domain-%d", number)))
	}
	hosts, err := large.Run()
	if err != nil || len(hosts) != initializer.MaximalHosts {
		t.Fatalf("Run() = %d hosts, %v", len(hosts), err)
	}
}

func TestRunRefuses(t *testing.T) {
	tests := []struct {
		name   string
		change func(*initializer.Initializer)
		kind   initializer.ErrorKind
	}{
		{"no failure domain", func(broken *initializer.Initializer) { broken.FailureDomains = nil }, initializer.ErrorKindInvalid},
		{"failure domain twice", func(broken *initializer.Initializer) { broken.FailureDomains[1] = "thu-duc" }, initializer.ErrorKindInvalid},
		{"failure domain with path", func(broken *initializer.Initializer) { broken.FailureDomains[1] = "../x" }, initializer.ErrorKindInvalid},
		{"no hosts", func(broken *initializer.Initializer) { broken.EntryHosts = 0 }, initializer.ErrorKindInvalid},
		{"too many hosts", func(broken *initializer.Initializer) { broken.EntryHosts = 67 }, initializer.ErrorKindInvalid},
		{"ports too low", func(broken *initializer.Initializer) { broken.BasePort = 80 }, initializer.ErrorKindInvalid},
		{"ports too high", func(broken *initializer.Initializer) { broken.BasePort = 65000 }, initializer.ErrorKindInvalid},
		{"file in the folder's place", func(broken *initializer.Initializer) { broken.Folder = "initializer.go" }, initializer.ErrorKindUnwritable},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			folder := t.TempDir()
			broken := newInitializer(folder)
			test.change(broken)
			_, err := broken.Run()
			checkKind(t, err, test.kind)
			if written, _ := os.ReadDir(folder); len(written) != 0 {
				t.Errorf("wrote %v", written)
			}
		})
	}
}

// TestRunNeverOverwritesUnasked: settings edited by hand would be lost by a second
// init in the same folder.
func TestRunNeverOverwritesUnasked(t *testing.T) {
	second := newInitializer(t.TempDir())
	if _, err := second.Run(); err != nil {
		t.Fatal(err)
	}
	_, err := second.Run()
	checkKind(t, err, initializer.ErrorKindExists)
	second.Force = true
	if _, err := second.Run(); err != nil {
		t.Errorf("forced Run() = %v", err)
	}
	second.EntryHosts = 2
	_, err = second.Run()
	checkKind(t, err, initializer.ErrorKindExists)
}

func checkKind(t *testing.T, err error, kind initializer.ErrorKind) {
	t.Helper()
	var failure *initializer.Error
	if !errors.As(err, &failure) || failure.Kind != kind {
		t.Errorf("Run() = %v, want kind %s", err, kind)
	}
}
