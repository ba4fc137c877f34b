package coordinator_test

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/allocator"
	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
	"github.com/stoathitch/stoathitch/pkg/supervisor"
)

// mixedLoad submits jobs to hosts of several sizes and counts the starts of each task.
type mixedLoad struct {
	network *network
	world   *calledWorld
	starts  map[string]int
	jobs    int
	ended   map[supervisor.Outcome]int
}

// newMixedLoad makes a failure domain of two cells and six backend servers, whose hosts have the
// given processor capacities. Only the first living hosts run.
func newMixedLoad(t *testing.T, living int, processors ...identifier.MilliCPU) *mixedLoad {
	t.Helper()
	settings := coordinator.DefaultSettings()
	settings.Dispatcher.Cells = 2
	network := newNetworkWith([]identifier.FailureDomain{"leuven"}, 0, settings)
	for index, processor := range processors {
		id := identifier.HostID(fmt.Sprintf("leuven-host-%d", index))
		network.hosts = append(network.hosts, &fakeHost{id: id, domain: "leuven", capacity: identifier.HostCapacity{MilliCPU: processor}})
	}
	network.seeds = network.hosts[:2]
	for _, host := range network.hosts[:living] {
		network.startHost(host)
	}
	load := &mixedLoad{network: network, starts: make(map[string]int), ended: make(map[supervisor.Outcome]int)}
	load.world = newCalledWorld(network, nil, 6)
	load.world.workOf = func(key messenger.RunKey) (time.Duration, allocator.EndKind) {
		load.starts[taskOf(key)]++
		return time.Duration(90+30*(int(key.Task)%3)) * time.Millisecond, allocator.EndDone
	}
	load.world.jobEnded = func(ended *supervisor.JobEnded) { load.ended[ended.Outcome]++ }
	network.advance(3 * time.Second)
	return load
}

// run submits seven jobs of three tasks every 200 ms to the first hosts, more than the backend servers
// take at once.
func (load *mixedLoad) run(duration time.Duration, hosts int) {
	for end := load.network.now.Add(duration); load.network.now < end; load.network.advance(200 * time.Millisecond) {
		for range 7 {
			load.world.submit(load.network.hosts[load.jobs%hosts], identifier.JobID(fmt.Sprintf("job-%d", load.jobs)), 3)
			load.jobs++
		}
	}
}

// check requires that each job is complete and each task ran once.
func (load *mixedLoad) check(t *testing.T) {
	t.Helper()
	load.network.advance(5 * time.Second)
	for _, problem := range load.world.problems {
		t.Error(problem)
	}
	if load.ended[supervisor.OutcomeComplete] != load.jobs {
		t.Errorf("%d jobs ended as %v", load.jobs, load.ended)
	}
	for task, starts := range load.starts {
		if starts > 1 {
			t.Errorf("%s started %d times", task, starts)
		}
	}
	if t.Failed() {
		t.Log(strings.Join(load.world.history, "\n"))
	}
}

// leads returns the hosts that lead the cells, by their own account.
func (load *mixedLoad) leads() map[messenger.CellNumber]identifier.HostID {
	leads := make(map[messenger.CellNumber]identifier.HostID)
	for _, host := range load.network.hosts {
		for cell, isLead := range host.leads {
			if host.coordinator != nil && isLead {
				leads[cell] = host.id
			}
		}
	}
	return leads
}

// TestLargeHostsJoinUnderLoad guards against work that a planned move loses: jobs that wait at the
// lead which gives its cell away, and runs that it has granted.
func TestLargeHostsJoinUnderLoad(t *testing.T) {
	load := newMixedLoad(t, 2, 144, 144, 480, 480)
	load.run(2*time.Second, 2)
	for _, host := range load.network.hosts[2:] {
		load.network.startHost(host)
	}
	load.run(12*time.Second, 2)
	load.check(t)
	if leads := load.leads(); len(load.network.moves) != 2 || leads[0] < "leuven-host-2" || leads[1] < "leuven-host-2" || leads[0] == leads[1] {
		t.Errorf("leads %v after moves %+v", leads, load.network.moves)
	}
}

// TestWrongCapacityMovesNoLead guards against a host that takes the leads because its member record
// states a capacity that can't be.
func TestWrongCapacityMovesNoLead(t *testing.T) {
	load := newMixedLoad(t, 2, 144, 144, 480_000_000, -480)
	for _, host := range load.network.hosts[2:] {
		load.network.startHost(host)
	}
	load.run(8*time.Second, 4)
	load.check(t)
	if leads := load.leads(); len(load.network.moves) != 0 || leads[0] > "leuven-host-1" || leads[1] > "leuven-host-1" {
		t.Errorf("leads %v after moves %+v", leads, load.network.moves)
	}
}

// TestBothLargeHostsLostAndBack guards against a failure domain without leads, or with leads that
// keep moving, after both large hosts were lost at once and have returned.
func TestBothLargeHostsLostAndBack(t *testing.T) {
	load := newMixedLoad(t, 4, 144, 144, 480, 480)
	load.run(time.Second, 2)
	for _, host := range load.network.hosts[2:] {
		load.network.crashHost(host)
	}
	load.run(4*time.Second, 2)
	if leads := load.leads(); len(leads) != 2 || leads[0] == leads[1] {
		t.Errorf("leads %v while the large hosts are lost", leads)
	}
	for _, host := range load.network.hosts[2:] {
		load.network.startHost(host)
	}
	load.run(15*time.Second, 2)
	load.network.advance(5 * time.Second)
	for _, problem := range load.world.problems {
		t.Error(problem)
	}
	if leads := load.leads(); len(load.network.moves) != 2 || leads[0] < "leuven-host-2" || leads[1] < "leuven-host-2" {
		t.Errorf("leads %v after moves %+v", leads, load.network.moves)
	}
}
