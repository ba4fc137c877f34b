package elector

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// TestLeadsFollowCapacity runs hosts of different sizes with their electors over the membership
// and prints which host acquires and loses which cell when. Names state the size in thousandths of
// a core. It guards against small hosts that lead while larger ones live, hosts that lead two cells
// while an equal one leads none, and cells that move more than once or together.
func TestLeadsFollowCapacity(t *testing.T) {
	var processes []*process
	var seeds []gossiper.Member
	var now identifier.Moment
	find := func(host identifier.HostID) *process {
		for _, known := range processes {
			if known.member.Host == host {
				return known
			}
		}
		created := &process{member: gossiper.Member{
			Host: host, FailureDomain: ownDomain, Addresses: gossiper.Addresses{Peers: string(host)},
		}}
		if _, size, stated := strings.Cut(string(host), "-"); stated {
			scan(size, &created.member.Capacity.MilliCPU)
		}
		created.seeds = seeds
		processes = append(processes, created)
		return created
	}
	datadriven.Walk(t, "testdata/capacities", func(t *testing.T, path string) {
		processes, now = nil, 0
		seeds = nil
		for _, host := range []identifier.HostID{"a-144", "b-144"} {
			seeds = append(seeds, gossiper.Member{Host: host, FailureDomain: ownDomain, Addresses: gossiper.Addresses{Peers: string(host)}})
		}
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			for _, argument := range data.CmdArgs {
				current := find(identifier.HostID(argument.Key))
				switch data.Cmd {
				case "start":
					current.start(now)
				case "kill":
					current.up = false
				case "resize":
					scan(argument.Vals[0], &current.member.Capacity.MilliCPU)
					current.start(now)
				}
			}
			var printed strings.Builder
			since := now
			for now.Sub(since) < 20*time.Second {
				now = now.Add(time.Millisecond)
				step(now, since, processes, &printed)
			}
			for _, current := range processes {
				if current.up {
					fmt.Fprintf(&printed, "%s leads %d\n", current.member.Host, current.elector.countLeads()[current.member.Host])
				}
			}
			return printed.String()
		})
	})
}

// TestOneLeadAmongHostsOfSeveralSizes is TestOneLeadOnceViewsAgree with moves. It guards against a
// cell that moves without end, or is left without a lead by a move, while views lag.
func TestOneLeadAmongHostsOfSeveralSizes(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newDomain(t)
		size := rapid.SampledFrom([]identifier.MilliCPU{0, 144, 144, 192, 480})
		for index := range run.hosts {
			run.processors[hostID(index)] = size.Draw(t, "size")
		}
		run.disturb(t)
		for round := 0; round < 10 || run.movesPending(); round++ {
			if round > 200 {
				t.Fatal("cells move without end")
			}
			run.updateAll(t)
		}
		run.updateAll(t)
		run.updateAll(t)
		run.check(t)
	})
}

// movesPending reports whether a host has to move a cell.
func (domain *domain) movesPending() bool {
	return slices.ContainsFunc(domain.hosts, func(current *host) bool {
		return current.up && current.elector.movesAt != identifier.Never
	})
}

// TestNoCellMovesToASuspect guards against a cell without a lead for as long as a loss takes to be
// detected, because it moved to a large host that was just lost.
func TestNoCellMovesToASuspect(t *testing.T) {
	small := &Elector{Self: "a", FailureDomain: ownDomain, Cells: 1, SettleTime: DefaultSettleTime}
	hosts := HostsChanged{
		FailureDomain: ownDomain, Living: []identifier.HostID{"a", "b"}, Suspected: []identifier.HostID{"b"},
		Processors: map[identifier.HostID]identifier.MilliCPU{"a": 144, "b": 480},
	}
	moves := func(at time.Duration, inputs ...Input) bool {
		return slices.ContainsFunc(small.Tick(identifier.Moment(at), inputs), func(output Output) bool {
			_, moved := output.(MovePlanned)
			return moved
		})
	}
	small.Tick(0, nil)
	small.Tick(identifier.Moment(DefaultSettleTime), nil)
	moves(time.Second, hosts)
	if small.NextDeadline() != identifier.Never || moves(20*time.Second) {
		t.Error("the cell moves to a suspect")
	}
	hosts.Suspected = nil
	if !moves(21*time.Second, hosts) {
		t.Error("the cell does not move to the host that has refuted the suspicion")
	}
}

// TestForeignCellPreventsNoMove guards against moves that never happen because a lost host with
// another layout announced a cell that nobody else has.
func TestForeignCellPreventsNoMove(t *testing.T) {
	small := &Elector{Self: "a", FailureDomain: ownDomain, Cells: 1, SettleTime: DefaultSettleTime}
	processors := map[identifier.HostID]identifier.MilliCPU{"a": 144, "b": 480}
	small.Tick(0, []Input{
		HostsChanged{FailureDomain: ownDomain, Living: []identifier.HostID{"a", "c"}, Processors: processors},
		LeadSeen{FailureDomain: ownDomain, Host: "c", Cell: 1, Epoch: 1},
	})
	small.Tick(identifier.Moment(DefaultSettleTime), nil)
	small.Tick(identifier.Moment(time.Second), []Input{
		HostsChanged{FailureDomain: ownDomain, Living: []identifier.HostID{"a", "b"}, Processors: processors},
	})
	if small.NextDeadline() != identifier.Moment(3*time.Second) {
		t.Errorf("the next move is due at %v", time.Duration(small.NextDeadline()))
	}
}
