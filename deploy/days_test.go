// Package deploy_test checks the files that the users' platform and bench read
// beside the program.
package deploy_test

import (
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"slices"
	"strings"
	"testing"

	"github.com/BurntSushi/toml"
)

// dayFile is what a day file may hold.
type dayFile struct {
	Day []day
}

// day is one day of traffic with the work and the faults that come in it.
type day struct {
	Name    string
	Slot    string
	Seed    int64
	LengthS float64 `toml:"length_s"`
	One     float64
	Zero    float64
	Goal    struct{ Floor float64 }
	Labels  []string
	// Closing is the final fault; a day without one has no kind.
	Closing struct {
		Kind  string
		How   string
		DownS float64 `toml:"down_s"`
	}
	Plan   []entry
	Faults []entry
}

// entry is one piece of planned work or one fault.
type entry struct {
	At      float64
	Kind    string
	How     string
	On      string
	ForS    float64 `toml:"for_s"`
	GapS    float64 `toml:"gap_s"`
	Share   float64
	Count   int
	X       float64
	Class   string
	Service string
	Zone    string
	ToZone  string `toml:"to_zone"`
}

// plannedKinds are the kinds of planned work.
var plannedKinds = []string{
	"bad_config", "big_config", "config_change", "config_race", "config_storm", "evacuate", "hup",
	"release", "roll_term", "scale_in", "scale_out", "seed_turnover",
}

// faultKinds are the kinds of faults.
var faultKinds = []string{
	"ack_lost", "after_ack_kill", "after_ack_wipe", "applied_late", "burst", "clock_step",
	"cloud_down", "cloud_slow", "core_cut", "disk_full", "disk_slow", "disk_stall", "give_up",
	"herd_kill", "hot_key", "lossy", "node_cut", "node_freeze", "node_kill", "node_slow",
	"poison", "replace_core", "reset_conns", "shift", "srv_cut", "srv_crash", "srv_flap",
	"srv_grey", "srv_lying_health", "srv_slow", "zone_cut",
}

// machineClasses are the classes of machines that every deployment has.
var machineClasses = []string{"", "front", "core"}

// placeholder is the only way in which a day may name a class, a service or a
// zone, as each deployment has its own.
var placeholder = regexp.MustCompile(`^@[csz][0-9]$`)

// TestDayFiles reads all day files. A file that the bench can't read, or a day
// that names what only one deployment has, would be left out there without a
// word, and what it was written for would no longer be played.
func TestDayFiles(t *testing.T) {
	paths, err := filepath.Glob("days/*")
	if err != nil {
		t.Fatal(err)
	}
	if len(paths) == 0 {
		t.Fatal("no day files")
	}
	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			for _, fault := range checkDayFile(t, path) {
				t.Error(fault)
			}
		})
	}
}

// checkDayFile returns what is wrong with a day file.
func checkDayFile(t *testing.T, path string) []string {
	t.Helper()
	content, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	var file dayFile
	read, err := toml.Decode(string(content), &file)
	if err != nil {
		t.Fatal(err)
	}
	var faults []string
	for _, key := range read.Undecoded() {
		faults = append(faults, fmt.Sprintf("unknown key %s", key))
	}
	if len(file.Day) != 1 {
		return append(faults, fmt.Sprintf("%d days, want one a file", len(file.Day)))
	}
	return append(faults, checkDay(path, file.Day[0])...)
}

// checkDay returns what is wrong with the day of a file.
func checkDay(path string, day day) []string {
	var faults []string
	if name := strings.TrimSuffix(filepath.Base(path), ".toml"); day.Name != name {
		faults = append(faults, fmt.Sprintf("the day is named %q, want %q", day.Name, name))
	}
	if day.Slot != "trouble" {
		faults = append(faults, fmt.Sprintf("slot %q, want trouble", day.Slot))
	}
	if day.LengthS <= 0 || day.Seed == 0 || day.One <= day.Zero {
		faults = append(faults, "length, seed or marks are missing")
	}
	for _, entry := range day.Plan {
		faults = append(faults, checkEntry(day, entry, plannedKinds)...)
	}
	for _, entry := range day.Faults {
		faults = append(faults, checkEntry(day, entry, faultKinds)...)
	}
	return faults
}

// checkEntry returns what is wrong with an entry of a day.
func checkEntry(day day, entry entry, kinds []string) []string {
	var faults []string
	fault := func(format string, values ...any) {
		place := fmt.Sprintf("%s at %v s: ", entry.Kind, entry.At)
		faults = append(faults, place+fmt.Sprintf(format, values...))
	}
	if !slices.Contains(kinds, entry.Kind) {
		fault("unknown kind here")
	}
	if entry.At < 0 || entry.At > day.LengthS {
		fault("not within the day's %v s", day.LengthS)
	}
	if entry.Share < 0 || entry.Share > 1 {
		fault("share %v, want 0 to 1", entry.Share)
	}
	if entry.ForS < 0 || entry.GapS < 0 || entry.Count < 0 {
		fault("negative span or count")
	}
	if !slices.Contains(machineClasses, entry.On) {
		fault("on %q, which not every deployment has", entry.On)
	}
	for _, name := range []string{entry.Class, entry.Service, entry.Zone, entry.ToZone} {
		if name != "" && !placeholder.MatchString(name) {
			fault("names %q, want a placeholder", name)
		}
	}
	return faults
}
