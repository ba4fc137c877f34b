package elector

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"pgregory.net/rapid"

	"github.com/stoathitch/stoathitch/pkg/identifier"
)

const ownDomain = identifier.FailureDomain("leuven")

// TestScenarios runs testdata/scenarios against one elector, host b of a, b, c.
func TestScenarios(t *testing.T) {
	datadriven.Walk(t, "testdata/scenarios", func(t *testing.T, path string) {
		elector := &Elector{Self: "b", FailureDomain: ownDomain, Cells: 2, SettleTime: DefaultSettleTime}
		var now identifier.Moment
		datadriven.RunTest(t, path, func(t *testing.T, data *datadriven.TestData) string {
			if data.Cmd != "tick" {
				return "unknown command"
			}
			var at int
			data.ScanArgs(t, "at", &at)
			now = identifier.Moment(time.Duration(at) * time.Millisecond)
			var inputs []Input
			for _, line := range strings.Split(strings.TrimSpace(data.Input), "\n") {
				if line != "" {
					inputs = append(inputs, parseInput(line))
				}
			}
			var printed strings.Builder
			for _, output := range elector.Tick(now, inputs) {
				fmt.Fprintf(&printed, "%T %+v\n", output, output)
			}
			if next := elector.NextDeadline(); next != identifier.Never {
				fmt.Fprintf(&printed, "next tick at %d ms\n", time.Duration(next).Milliseconds())
			}
			return printed.String()
		})
	})
}

// parseInput parses one input: its name, then, where present, the failure domain, hosts, cell
// and epoch.
func parseInput(line string) Input {
	words := strings.Fields(line)
	var cell identifier.CellID
	var epoch identifier.Epoch
	domain := ownDomain
	if len(words) > 1 {
		domain = identifier.FailureDomain(words[1])
	}
	switch words[0] {
	case "living":
		hosts := make([]identifier.HostID, 0, len(words))
		for _, word := range words[2:] {
			hosts = append(hosts, identifier.HostID(word))
		}
		return HostsChanged{FailureDomain: domain, Living: hosts}
	case "cut-off":
		// All hosts of the own failure domain except this one are unreachable.
		return HostsChanged{FailureDomain: domain, Living: []identifier.HostID{"b"}, MissingHosts: 2}
	case "server-heard":
		return ServerResponded{}
	case "host-heard":
		return HostResponded{}
	case "restarted":
		return HostRestarted{FailureDomain: domain, Host: identifier.HostID(words[2])}
	case "lead-seen":
		scan(words[3]+" "+words[4], &cell, &epoch)
		return LeadSeen{FailureDomain: domain, Host: identifier.HostID(words[2]), Cell: cell, Epoch: epoch}
	case "withdrawn":
		scan(words[3], &cell)
		return LeadWithdrawn{FailureDomain: domain, Host: identifier.HostID(words[2]), Cell: cell}
	case "epoch-seen":
		scan(words[1]+" "+words[2], &cell, &epoch)
		return EpochSeen{Cell: cell, Epoch: epoch}
	case "resign":
		return Resign{}
	}
	panic("unknown input " + line)
}

func scan(text string, targets ...any) {
	if _, err := fmt.Sscan(text, targets...); err != nil {
		panic(err)
	}
}

// host is one elector of the fuzz test with the epochs that it leads with and has announced.
type host struct {
	elector   *Elector
	up        bool
	leads     map[identifier.CellID]identifier.Epoch
	announced map[identifier.CellID]identifier.Epoch
}

// domain runs the electors of one failure domain. Views lag: a host sees changes of the others
// only when its view is updated.
type domain struct {
	now     identifier.Moment
	hosts   []*host
	highest map[identifier.CellID]identifier.Epoch
	// processors are the capacities that the hosts state.
	processors map[identifier.HostID]identifier.MilliCPU
}

func newDomain(t *rapid.T) *domain {
	count := rapid.IntRange(1, 5).Draw(t, "hosts")
	run := &domain{
		hosts:      make([]*host, count),
		highest:    make(map[identifier.CellID]identifier.Epoch),
		processors: make(map[identifier.HostID]identifier.MilliCPU),
	}
	for index := range count {
		run.start(index)
	}
	return run
}

func (domain *domain) start(index int) {
	domain.hosts[index] = &host{
		up:        true,
		leads:     make(map[identifier.CellID]identifier.Epoch),
		announced: make(map[identifier.CellID]identifier.Epoch),
		elector: &Elector{
			Self: hostID(index), FailureDomain: ownDomain, Cells: 3, SettleTime: DefaultSettleTime,
		},
	}
}

func hostID(index int) identifier.HostID { return identifier.HostID(fmt.Sprintf("host-%d", index)) }

func (domain *domain) tick(t *rapid.T, current *host, inputs ...Input) {
	for _, output := range current.elector.Tick(domain.now, inputs) {
		switch output := output.(type) {
		case LeadTaken:
			if output.Epoch <= current.announced[output.Cell] {
				t.Fatalf("%s acquired cell %d with epoch %d after %d", current.elector.Self,
					output.Cell, output.Epoch, current.announced[output.Cell])
			}
			current.leads[output.Cell] = output.Epoch
			current.announced[output.Cell] = output.Epoch
			domain.highest[output.Cell] = max(domain.highest[output.Cell], output.Epoch)
		case LeadLost:
			if current.leads[output.Cell] != output.Epoch {
				t.Fatalf("%s lost cell %d with epoch %d, which it does not lead", current.elector.Self, output.Cell, output.Epoch)
			}
			delete(current.leads, output.Cell)
		}
	}
}

// update updates one host's view of some of the others.
func (domain *domain) update(t *rapid.T, current *host, sees func(index int) bool) {
	hosts := HostsChanged{FailureDomain: ownDomain, Processors: domain.processors}
	var inputs []Input
	for index, other := range domain.hosts {
		if other == current || !other.up || other.elector.resigned || !sees(index) {
			continue
		}
		hosts.Living = append(hosts.Living, hostID(index))
		for cell := range identifier.CellID(3) {
			if epoch := other.leads[cell]; epoch != 0 {
				inputs = append(inputs, LeadSeen{ownDomain, hostID(index), cell, epoch})
			} else {
				inputs = append(inputs, LeadWithdrawn{ownDomain, hostID(index), cell})
			}
		}
	}
	domain.tick(t, current, append(inputs, hosts)...)
}

// TestOneLeadOnceViewsAgree mixes restarts, resignations and partial views. It guards against
// two hosts that both keep leading one cell, a cell without a lead, and an epoch lower than
// one announced before. Hosts restart, resign and lose sight of each other in any order; rules
// that depend on the order of inputs would fail.
func TestOneLeadOnceViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		run := newDomain(t)
		run.disturb(t)
		for range 10 {
			run.updateAll(t)
		}
		run.check(t)
	})
}

// disturb restarts hosts, makes them resign and hides them from each other.
func (domain *domain) disturb(t *rapid.T) {
	index := rapid.IntRange(0, len(domain.hosts)-1)
	t.Repeat(map[string]func(*rapid.T){
		"": func(t *rapid.T) { domain.checkDeadlines(t) },
		"time-passes": func(t *rapid.T) {
			domain.now += identifier.Moment(rapid.IntRange(1, 500).Draw(t, "milliseconds")) * 1e6
		},
		"update": func(t *rapid.T) {
			seen := rapid.Uint8().Draw(t, "seen")
			current := domain.hosts[index.Draw(t, "host")]
			if current.up {
				domain.update(t, current, func(index int) bool { return seen>>index&1 == 1 })
			}
		},
		"kill":    func(t *rapid.T) { domain.hosts[index.Draw(t, "host")].up = false },
		"restart": func(t *rapid.T) { domain.start(index.Draw(t, "host")) },
		"resign": func(t *rapid.T) {
			if current := domain.hosts[index.Draw(t, "host")]; current.up {
				domain.tick(t, current, Resign{})
			}
		},
		"backend-server-reports": func(t *rapid.T) {
			current := domain.hosts[index.Draw(t, "host")]
			cell := identifier.CellID(rapid.IntRange(0, 2).Draw(t, "cell"))
			if current.up {
				domain.tick(t, current, EpochSeen{cell, domain.highest[cell]})
			}
		},
	})
}

// updateAll lets the settle time pass and shows every host all others.
func (domain *domain) updateAll(t *rapid.T) {
	domain.now += identifier.Moment(DefaultSettleTime)
	for _, current := range domain.hosts {
		if current.up {
			domain.update(t, current, func(int) bool { return true })
		}
	}
}

// checkDeadlines checks that a host that has just run does not request another tick at the
// same moment, which would keep a processor busy for nothing.
func (domain *domain) checkDeadlines(t *rapid.T) {
	for _, current := range domain.hosts {
		if !current.up {
			continue
		}
		domain.tick(t, current)
		if current.elector.NextDeadline().Due(domain.now) {
			t.Fatalf("%s requests another tick at once", current.elector.Self)
		}
	}
}

// check compares which hosts lead each cell by their own account with the lead that every host
// sees.
func (domain *domain) check(t *rapid.T) {
	willing := slices.ContainsFunc(domain.hosts, func(current *host) bool {
		return current.up && !current.elector.resigned
	})
	for cell := range identifier.CellID(3) {
		var leads []identifier.HostID
		for _, current := range domain.hosts {
			if current.up && current.leads[cell] != 0 {
				leads = append(leads, current.elector.Self)
			}
		}
		if willing && len(leads) != 1 || !willing && len(leads) != 0 {
			t.Fatalf("cell %d is led by %v", cell, leads)
		}
		for _, current := range domain.hosts {
			if !current.up || !willing {
				continue
			}
			if lead, _ := current.elector.Lead(ownDomain, cell); lead != leads[0] {
				t.Fatalf("%s sees %q as the lead of cell %d, not %v", current.elector.Self, lead, cell, leads)
			}
		}
	}
}
