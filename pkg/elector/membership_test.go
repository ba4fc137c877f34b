package elector

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// process is a gossiper with an elector on top, as the daemon runs them.
type process struct {
	member   gossiper.Member
	seeds    []gossiper.Member
	gossiper *gossiper.Gossiper
	elector  *Elector
	inbox    []gossiper.Input
	up       bool
}

func (process *process) start(now identifier.Moment) {
	process.member.Incarnation = identifier.Incarnation(now) + 1
	process.gossiper = &gossiper.Gossiper{
		Self: process.member, Seeds: process.seeds, Seed: uint64(now) + uint64(len(process.member.Host)),
		Settings: gossiper.DefaultSettings(),
	}
	process.elector = &Elector{
		Self: process.member.Host, FailureDomain: ownDomain, Cells: 2, SettleTime: DefaultSettleTime,
	}
	process.inbox = nil
	process.up = true
}

// TestLeadsOverTheMembership runs three hosts and their electors over a network with a delay
// of one millisecond, and prints which host acquires and loses which cell when.
//
// It guards against a cell without a lead for longer than a loss takes to be detected, and
// against a cell that moves although its lead lives, at a start, loss, return and leave. The
// cause would be announcements that the membership withholds or restores.
func TestLeadsOverTheMembership(t *testing.T) {
	var processes []*process
	var seeds []gossiper.Member
	for _, host := range []identifier.HostID{"a", "bb", "ccc"} {
		seeds = append(seeds, gossiper.Member{
			Host: host, FailureDomain: ownDomain, Addresses: gossiper.Addresses{Peers: string(host)},
		})
	}
	for _, seed := range seeds {
		processes = append(processes, &process{member: seed, seeds: seeds})
	}
	var now identifier.Moment
	datadriven.RunTest(t, "testdata/membership", func(t *testing.T, data *datadriven.TestData) string {
		for _, current := range processes {
			if !data.HasArg(string(current.member.Host)) {
				continue
			}
			switch data.Cmd {
			case "start":
				current.start(now)
			case "kill":
				current.up = false
			case "leave":
				decided := current.elector.Tick(now, []Input{Resign{}})
				current.inbox = append(current.inbox, Announce(decided)...)
				current.inbox = append(current.inbox, gossiper.LeaveRequested{})
			}
		}
		var printed strings.Builder
		since := now
		for now.Sub(since) < 5*time.Second {
			now = now.Add(time.Millisecond)
			step(now, since, processes, &printed)
		}
		return printed.String()
	})
}

// step simulates one millisecond. Messages sent in it arrive in the next.
func step(now, since identifier.Moment, processes []*process, printed *strings.Builder) {
	var sent []gossiper.Send
	for _, current := range processes {
		if !current.up {
			continue
		}
		outputs := current.gossiper.Tick(now, current.inbox)
		decided := current.elector.Tick(now, InputsFrom(current.gossiper, outputs))
		current.inbox = Announce(decided)
		for _, output := range outputs {
			if send, isSend := output.(gossiper.Send); isSend {
				sent = append(sent, send)
			}
		}
		for _, output := range decided {
			if _, isView := output.(LeadIs); !isView {
				fmt.Fprintf(printed, "%4d %s: %T %+v\n", now.Sub(since).Milliseconds(), current.member.Host, output, output)
			}
		}
	}
	for _, send := range sent {
		for _, current := range processes {
			if current.member.Host == send.To {
				current.inbox = append(current.inbox, gossiper.MessageReceived{Message: send.Message})
			}
		}
	}
}
