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

// TestLeadsOverTheMembership runs three hosts and their electors over a network
// that takes a millisecond, and writes down who takes and loses which cell when.
//
// Symptom: a cell without a lead for longer than a loss takes to be seen, or one
// that moves although its lead lives. Sequence: start, loss, return, leaving.
// Cause: announcements that the membership withholds or brings back.
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
		var told strings.Builder
		since := now
		for now.Sub(since) < 5*time.Second {
			now = now.Add(time.Millisecond)
			step(now, since, processes, &told)
		}
		return told.String()
	})
}

// step runs a millisecond; what is sent in it arrives in the next.
func step(now, since identifier.Moment, processes []*process, told *strings.Builder) {
	var sent []gossiper.Send
	for _, current := range processes {
		if !current.up {
			continue
		}
		outputs := current.gossiper.Tick(now, current.inbox)
		decided := current.elector.Tick(now, Follow(current.gossiper, outputs))
		current.inbox = Announce(decided)
		for _, output := range outputs {
			if send, isSend := output.(gossiper.Send); isSend {
				sent = append(sent, send)
			}
		}
		for _, output := range decided {
			if _, isView := output.(LeadIs); !isView {
				fmt.Fprintf(told, "%4d %s: %T %+v\n", now.Sub(since).Milliseconds(), current.member.Host, output, output)
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
