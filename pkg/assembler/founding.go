package assembler

import (
	"context"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/google/renameio/v2"
	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/provider"
)

//go:generate enumer -type=Founding -trimprefix=Founding -transform=kebab -text

// Founding says how a keeper learns the first members of the keepers' log.
type Founding int

const (
	// FoundingBySettings means that the keepers of the settings are the first members at each
	// start: the settings must name the same ones for as long as the log exists.
	FoundingBySettings Founding = iota
	// FoundingOnce means that this is the first start of the whole system: the keepers of the
	// settings are stored in the data folder as the first members.
	FoundingOnce
	// FoundingOver means that the log was founded before. A keeper without stored founders has
	// lost its disk, or is new, and waits until the others add it.
	FoundingOver
)

// foundersFile is the name of the file of the first members within the data folder.
const foundersFile = "founders.json"

// foundersMode lets only the daemon's user read and change the file.
const foundersMode = 0o600

// founders are the first members of the keepers' log.
type founders struct {
	hosts []identifier.HostID
	// join reports whether this keeper has to be added by the others.
	join bool
	// joiningAs is the incarnation under which it waits for that.
	joiningAs identifier.Incarnation
}

// founders returns the first members of the log.
//
// The settings of a later start may name other keepers than those of the first. A keeper that took
// these for the first members would count quorums among hosts that never agreed, and there could
// be two leaders at once.
func (daemon *Daemon) founders() (founders, error) {
	if daemon.Founding == FoundingBySettings || !daemon.Settings.HasRole(loader.RoleKeeper) {
		return founders{}, nil
	}
	path := filepath.Join(daemon.Settings.DataFolder, foundersFile)
	known, err := readFounders(path)
	if err != nil {
		return founders{}, &Error{Operation: "read " + path, Kind: ErrorJournal, Err: err}
	}
	if len(known) > 0 {
		return founders{hosts: known}, nil
	}
	if daemon.Founding == FoundingOver {
		return daemon.joining()
	}
	for _, host := range daemon.Settings.Hosts {
		if host.HasRole(loader.RoleKeeper) {
			known = append(known, host.Host)
		}
	}
	if err := writeFounders(path, known); err != nil {
		return founders{}, &Error{Operation: "write " + path, Kind: ErrorJournal, Err: err}
	}
	return founders{hosts: known}, nil
}

// joiningFile is the name of the file of the incarnation under which this keeper joins.
const joiningFile = "joining.json"

// joining returns the incarnation under which this keeper joins. It is stored before the log accepts
// anything: a process that starts again on the same disk finds its admission in the log, while one on
// another disk is added anew.
func (daemon *Daemon) joining() (founders, error) {
	path := filepath.Join(daemon.Settings.DataFolder, joiningFile)
	var incarnation identifier.Incarnation
	known, err := readStored(path, &incarnation)
	if err != nil {
		return founders{}, &Error{Operation: "read " + path, Kind: ErrorJournal, Err: err}
	}
	if !known {
		incarnation = identifier.Incarnation(time.Now().UnixNano())
		if err := writeStored(path, incarnation); err != nil {
			return founders{}, &Error{Operation: "write " + path, Kind: ErrorJournal, Err: err}
		}
	}
	return founders{join: true, joiningAs: incarnation}, nil
}

// founderStore stores the members that a keeper joined. Until that is durable, a restart makes the
// keeper join again, which is harmless.
type founderStore struct {
	*provider.Common
	newest        chan []identifier.HostID
	retryInterval time.Duration
	refusal       refusal
}

func newFounderStore(common *provider.Common) *founderStore {
	return &founderStore{Common: common, newest: make(chan []identifier.HostID, 1), retryInterval: fileRetryInterval}
}

// save queues members for writing and replaces those that are still queued. Only the runner's
// goroutine may call it.
func (founderStore *founderStore) save(hosts []identifier.HostID) {
	select {
	case <-founderStore.newest:
	default:
	}
	founderStore.newest <- hosts
}

// run writes queued members until ctx is done.
func (founderStore *founderStore) run(ctx context.Context) {
	path := filepath.Join(founderStore.Settings.DataFolder, foundersFile)
	write := func(hosts []identifier.HostID) error { return writeFounders(path, hosts) }
	writeNewest(ctx, founderStore.newest, founderStore.retryInterval, write, founderStore.note)
}

func (founderStore *founderStore) note(err error) {
	if err != nil {
		if founderStore.refusal.refused() {
			founderStore.Log.Error("founders not remembered, the keeper joins again after a restart", "err", err)
		}
		return
	}
	if tries, began := founderStore.refusal.accepted(); tries > 0 {
		founderStore.Log.Info("founders remembered again", "tries", tries, "lasted", time.Since(began))
	}
}

func readFounders(path string) ([]identifier.HostID, error) {
	var hosts []identifier.HostID
	_, err := readStored(path, &hosts)
	return hosts, err
}

// readStored reads a value that writeStored wrote, and reports whether there is one.
func readStored(path string, value any) (known bool, err error) {
	content, err := os.ReadFile(path)
	if errors.Is(err, fs.ErrNotExist) {
		return false, nil
	}
	if err != nil {
		return false, eris.Wrap(err, "read")
	}
	if err := json.Unmarshal(content, value); err != nil {
		return false, eris.Wrap(err, "decode")
	}
	return true, nil
}

// writeFounders stores the first members, before the log accepts anything.
func writeFounders(path string, hosts []identifier.HostID) error { return writeStored(path, hosts) }

// writeStored replaces a file of the data folder atomically and durably.
func writeStored(path string, value any) error {
	content, err := json.Marshal(value)
	if err != nil {
		return eris.Wrap(err, "encode")
	}
	folder := filepath.Dir(path)
	if err := os.MkdirAll(folder, 0o700); err != nil {
		return eris.Wrap(err, "make the data folder")
	}
	if err := renameio.WriteFile(path, content, foundersMode, renameio.WithTempDir(folder)); err != nil {
		return eris.Wrap(err, "write")
	}
	return syncPaths(folder)
}
