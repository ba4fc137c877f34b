package assembler

import (
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/planner"
)

// newCoordinator creates the coordinator of a host from its settings. The caller sets what reads
// configuration documents.
func newCoordinator(settings *loader.Settings, incarnation identifier.Incarnation) *coordinator.Coordinator {
	self := memberOf(settings.Self())
	self.Incarnation = incarnation
	self.Capacity = settings.Capacity.HostCapacity()
	created := &coordinator.Coordinator{
		Self:     self,
		Seed:     uint64(incarnation),
		Settings: coordinatorSettings(settings),
		// The daemon's clock reads moment 0 now.
		WallStart: planner.WallTime(time.Now().UnixMilli()),
	}
	for _, host := range settings.Hosts {
		if host.Host != settings.Host {
			created.Seeds = append(created.Seeds, memberOf(host))
		}
	}
	return created
}

func memberOf(host loader.Host) gossiper.Member {
	member := gossiper.Member{
		Host:          host.Host,
		FailureDomain: host.FailureDomain,
		Region:        identifier.Region(host.Region),
		Addresses: gossiper.Addresses{
			Callers: host.CallersAddress.String(),
			Peers:   host.PeersAddress.String(),
		},
	}
	if host.BackendServersAddress.IsValid() {
		member.Addresses.BackendServers = host.BackendServersAddress.String()
	}
	if host.HasRole(loader.RoleEntry) {
		member.Roles = append(member.Roles, gossiper.RoleEntry)
	}
	if host.HasRole(loader.RoleKeeper) {
		member.Roles = append(member.Roles, gossiper.RoleKeeper)
	}
	return member
}

func coordinatorSettings(settings *loader.Settings) coordinator.Settings {
	result := coordinator.DefaultSettings()
	heartbeats := time.Duration(settings.Timeouts.HeartbeatMissed)
	fillDispatch(&settings.Dispatch, &result.Dispatcher)
	result.Dispatcher.QueuedTasks = settings.Limits.QueuedTasks
	result.Dispatcher.UnknownTaskWait = settings.Timeouts.UnknownTaskWait.Std()
	result.Dispatcher.AnswerRetention = settings.Timeouts.AnswerRetention.Std()
	result.Dispatcher.HeartbeatTimeout = settings.Timeouts.HeartbeatInterval.Std() * heartbeats
	fillLimits(settings, &result.Dispatcher.Limits)
	result.Forwarder.Cells = settings.Dispatch.Cells
	result.AgreedLayout = settings.Dispatch.Cells == 0
	result.AnnounceLayout = true
	result.Forwarder.AnswerRetention = settings.Timeouts.AnswerRetention.Std()
	result.Intents.Quotas = quotasOf(settings)
	result.Forwarder.MaxRecords = settings.Limits.JobsInMemory
	result.Keeper.ClaimRetention = settings.Timeouts.ClaimRetention.Std()
	return result
}
