package forwarder_test

import (
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/forwarder"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/messenger"
)

// newLoneLead returns the only living host of its failure domain, which leads the cell and has sent
// a caller a refusal that claims nothing.
func newLoneLead() *forwarder.Forwarder {
	lead := &forwarder.Forwarder{Self: "entry-0", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
	refusal := messenger.RefuseUnknown("s-1", messenger.ReasonClaimUnavailable, "no quorum")
	lead.Tick(0, []forwarder.Input{
		&forwarder.HostsChanged{Living: []identifier.HostID{"entry-0"}},
		&forwarder.LeadChanged{Notice: messenger.LeadNotice{FailureDomain: "thu-duc", Host: "entry-0", Epoch: 1}},
		submitted("s-1", 1),
		&forwarder.AnswerArrived{From: "entry-0", Answer: refusal},
	})
	return lead
}

// TestNoCopyOfADroppedAnswer guards against a host that crashes on a copy without an answer: a lead
// without neighbours drops a refusal when its caller resends, and then a neighbour joins.
func TestNoCopyOfADroppedAnswer(t *testing.T) {
	lead := newLoneLead()
	lead.Tick(1, []forwarder.Input{submitted("s-1", 2)})
	joined := &forwarder.HostsChanged{Living: []identifier.HostID{"entry-0", "entry-1"}}
	for _, output := range lead.Tick(2, []forwarder.Input{joined}) {
		if copied, isCopy := output.(*forwarder.StoreAnswerCopy); isCopy {
			t.Errorf("sent %+v", copied)
		}
	}
}

// TestNoConfirmationOfADroppedAnswer guards against a lead that counts an answer as held by two
// hosts when it has dropped it.
func TestNoConfirmationOfADroppedAnswer(t *testing.T) {
	lead := newLoneLead()
	lead.Tick(1, []forwarder.Input{submitted("s-1", 2)})
	for _, output := range lead.Tick(identifier.Moment(time.Minute), nil) {
		if confirmed, isConfirmation := output.(*forwarder.ConfirmAnswer); isConfirmation {
			t.Errorf("confirmed %+v", confirmed)
		}
	}
}

// TestCopyWithoutAnAnswerIsIgnored guards against a host that crashes on another host's message.
func TestCopyWithoutAnAnswerIsIgnored(t *testing.T) {
	tested := &forwarder.Forwarder{Self: "entry-0", FailureDomain: "thu-duc", Settings: forwarder.DefaultSettings()}
	if outputs := tested.Tick(0, []forwarder.Input{&forwarder.AnswerCopyArrived{From: "entry-1"}}); len(outputs) != 0 {
		t.Errorf("sent %+v", outputs)
	}
}
