package commander

import (
	"context"
	"fmt"
	"strconv"
	"strings"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// waitInterval is the pause between two looks at the hosts' versions.
const waitInterval = 200 * time.Millisecond

// configWaitCommand waits until a version is in force everywhere.
type configWaitCommand struct {
	remoteOptions
	Timeout   time.Duration `long:"timeout" default:"30s" description:"how long to wait"`
	Arguments struct {
		Version uint64 `positional-arg-name:"VERSION" required:"yes" description:"the version to wait for"`
	} `positional-args:"yes"`
}

// rollout says where a version is in force.
type rollout struct {
	Version identifier.ConfigVersion `json:"version"`
	InForce int                      `json:"in-force"`
	Living  int                      `json:"living"`
	// Missing are the living hosts that do not have it yet.
	Missing []identifier.HostID `json:"missing"`
}

func (rollout *rollout) complete() bool { return rollout.Living > 0 && len(rollout.Missing) == 0 }

// Execute looks at the versions until all living hosts have the wanted one.
func (command *configWaitCommand) Execute(_ []string) error {
	ctx, cancel := context.WithTimeout(command.terminal.context, command.Timeout)
	defer cancel()
	defer command.terminal.progress("")
	seen := &rollout{Version: identifier.ConfigVersion(command.Arguments.Version), Missing: []identifier.HostID{}}
	for {
		status, err := command.requester().Status(ctx)
		switch {
		case err == nil:
			seen = rolloutOf(status, seen.Version)
		case ctx.Err() == nil:
			return remoteFailure(err)
		}
		command.terminal.progress(fmt.Sprintf("version %d: in force on %d of %d hosts", seen.Version, seen.InForce, seen.Living))
		if seen.complete() {
			return command.report(seen)
		}
		if !pause(ctx, waitInterval) {
			return command.late(seen, err)
		}
	}
}

// pause returns false when ctx ends first.
func pause(ctx context.Context, length time.Duration) bool {
	timer := time.NewTimer(length)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-timer.C:
		return true
	}
}

// rolloutOf counts the living hosts by what they publish in the membership.
func rolloutOf(status *coordinator.Status, wanted identifier.ConfigVersion) *rollout {
	result := &rollout{Version: wanted, Missing: []identifier.HostID{}}
	result.add(status.Host, status.ConfigVersion)
	for _, host := range status.Hosts {
		if host.Status > gossiper.StatusSuspect {
			continue
		}
		// A host that has published nothing has no version in force.
		version, _ := strconv.ParseUint(host.ConfigVersion, 10, 64)
		result.add(host.Host, identifier.ConfigVersion(version))
	}
	return result
}

func (rollout *rollout) add(host identifier.HostID, version identifier.ConfigVersion) {
	rollout.Living++
	if version >= rollout.Version {
		rollout.InForce++
		return
	}
	rollout.Missing = append(rollout.Missing, host)
}

func (command *configWaitCommand) report(seen *rollout) error {
	if command.JSON {
		return command.terminal.printJSON(seen)
	}
	command.terminal.progress("")
	return command.terminal.printLine("in force\tversion %d\t%d hosts", seen.Version, seen.Living)
}

func (command *configWaitCommand) late(seen *rollout, unreached error) error {
	if seen.Living == 0 {
		return remoteFailure(unreached)
	}
	if command.JSON {
		if err := command.terminal.printJSON(seen); err != nil {
			return err
		}
	}
	names := make([]string, 0, len(seen.Missing))
	for _, host := range seen.Missing {
		names = append(names, string(host))
	}
	return failed("version %d is in force on %d of %d hosts; missing: %s", seen.Version, seen.InForce, seen.Living, strings.Join(names, ", "))
}
