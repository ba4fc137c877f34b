package connector

import (
	"testing"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// TestSenderIsChecked guards against jobs of one failure domain that go to a host of another.
// Somebody steals the keys of one host of tan-binh and uses them to claim to thu-duc's hosts that
// it stands in thu-duc, or that it leads thu-duc's cell. A batch's claims about its sender's own
// place must not be believed.
func TestSenderIsChecked(t *testing.T) {
	settings := &loader.Settings{Hosts: []loader.Host{
		{Host: "thu-duc-entry-0", FailureDomain: "thu-duc"}, {Host: "tan-binh-entry-0", FailureDomain: "tan-binh"},
	}}
	gossip := func(from, host identifier.HostID, domain identifier.FailureDomain) coordinator.PeerMessage {
		state := gossiper.State{Member: gossiper.Member{Host: host, FailureDomain: domain}}
		return coordinator.PeerMessage{Gossip: &gossiper.Message{From: from, States: []gossiper.State{state}}}
	}
	for _, scenario := range []struct {
		name    string
		message coordinator.PeerMessage
		refused bool
		// states is the number of gossip states that remain.
		states int
	}{
		{name: "itself", message: gossip("tan-binh-entry-0", "tan-binh-entry-0", "tan-binh"), states: 1},
		{name: "another host", message: gossip("tan-binh-entry-0", "thu-duc-entry-0", "thu-duc"), states: 1},
		{name: "a host that is not listed", message: gossip("tan-binh-entry-0", "thu-duc-entry-9", "thu-duc"), states: 1},
		{name: "itself elsewhere", message: gossip("tan-binh-entry-0", "tan-binh-entry-0", "thu-duc"), refused: true},
		{name: "another host elsewhere", message: gossip("tan-binh-entry-0", "thu-duc-entry-0", "tan-binh"), states: 0},
		{name: "gossip in another's name", message: gossip("thu-duc-entry-0", "thu-duc-entry-0", "thu-duc"), refused: true},
		{name: "own cell", message: coordinator.PeerMessage{LeadNotice: &messenger.LeadNotice{FailureDomain: "tan-binh"}}},
		{name: "another's cell", message: coordinator.PeerMessage{LeadNotice: &messenger.LeadNotice{FailureDomain: "thu-duc"}}, refused: true},
		{name: "own workers", message: coordinator.PeerMessage{IntentSync: &coordinator.IntentSync{FailureDomain: "tan-binh"}}},
		{name: "another's workers", message: coordinator.PeerMessage{IntentSync: &coordinator.IntentSync{FailureDomain: "thu-duc"}}, refused: true},
		{name: "own job", message: coordinator.PeerMessage{Spill: &messenger.SpillRequest{Job: jobOf("tan-binh", "thu-duc")}}},
		{name: "another's job", message: coordinator.PeerMessage{Spill: &messenger.SpillRequest{Job: jobOf("thu-duc", "tan-binh")}}, refused: true},
		{name: "no job", message: coordinator.PeerMessage{Spill: &messenger.SpillRequest{}}, refused: true},
		{name: "own jobs elsewhere", message: coordinator.PeerMessage{GuestQuery: &messenger.GuestQuery{FailureDomain: "tan-binh"}}},
		{name: "another's jobs", message: coordinator.PeerMessage{GuestQuery: &messenger.GuestQuery{FailureDomain: "thu-duc"}}, refused: true},
		{name: "own guests", message: coordinator.PeerMessage{GuestReply: &messenger.GuestReply{FailureDomain: "tan-binh"}}},
		{name: "another's guests", message: coordinator.PeerMessage{GuestReply: &messenger.GuestReply{FailureDomain: "thu-duc"}}, refused: true},
		{name: "another's load", message: coordinator.PeerMessage{Load: &messenger.LoadNotice{FailureDomain: "thu-duc"}}, refused: true},
	} {
		t.Run(scenario.name, func(t *testing.T) {
			from := &sender{host: "tan-binh-entry-0", failureDomain: "tan-binh"}
			batch := &coordinator.PeerBatch{Messages: []coordinator.PeerMessage{scenario.message}}
			if err := from.checkBatch(settings, batch); (err != nil) != scenario.refused {
				t.Errorf("check() = %v, want a refusal: %t", err, scenario.refused)
			}
			left := batch.Messages[0].Gossip
			if left != nil && !scenario.refused && len(left.States) != scenario.states {
				t.Errorf("%d states are left, want %d", len(left.States), scenario.states)
			}
		})
	}
}

// jobOf returns a job that may run in the given failure domains, its home first.
func jobOf(mayRun ...identifier.FailureDomain) *messenger.Job { return &messenger.Job{MayRun: mayRun} }
