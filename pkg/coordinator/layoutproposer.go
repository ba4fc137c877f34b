package coordinator

import (
	"fmt"
	"time"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/keeper"
	"github.com/stoathitch/stoathitch/pkg/partitioner"
)

const (
	// layoutCheckInterval is how often a keeper looks at the entry hosts.
	layoutCheckInterval = 200 * time.Millisecond
	// layoutProposalTimeout is how long the outcome of a proposal is awaited. Proposing again is
	// harmless, since the first command for a failure domain wins.
	layoutProposalTimeout = time.Second
)

// layoutProposer has the leader of the keepers propose the layout of each failure domain that has
// none. Every keeper observes the hosts, so that a new leader need not wait for them to settle again.
type layoutProposer struct {
	coordinator *Coordinator
	partitioner partitioner.Partitioner
	dueAt       identifier.Moment
	// proposals are the proposals without a known outcome, by their nonce.
	proposals map[keeper.Nonce]layoutProposal
}

type layoutProposal struct {
	layout    configurer.Layout
	timeoutAt identifier.Moment
}

func newLayoutProposer(coordinator *Coordinator) *layoutProposer {
	created := &layoutProposer{
		coordinator: coordinator, dueAt: identifier.Never, proposals: make(map[keeper.Nonce]layoutProposal),
	}
	if coordinator.keeper != nil && coordinator.Settings.AgreedLayout {
		created.dueAt = coordinator.now
	}
	return created
}

// settle proposes the layouts that are decided and not in the log.
func (layoutProposer *layoutProposer) settle() {
	coordinator := layoutProposer.coordinator
	if !layoutProposer.dueAt.Due(coordinator.now) {
		return
	}
	layoutProposer.dueAt = coordinator.now.Add(layoutCheckInterval)
	layoutProposer.partitioner.Observe(coordinator.now, coordinator.entryCapacities())
	for nonce, proposal := range layoutProposer.proposals {
		if proposal.timeoutAt.Due(coordinator.now) {
			delete(layoutProposer.proposals, nonce)
		}
	}
	if !coordinator.keeper.IsLeader() || !layoutProposer.allMembersKnowLayouts() {
		return
	}
	logged := coordinator.keeper.Configuration()
	if len(logged.Document) == 0 {
		return
	}
	for _, layout := range layoutProposer.partitioner.Decided(coordinator.now) {
		if _, known := logged.Layout(layout.FailureDomain); !known && !layoutProposer.isProposed(layout.FailureDomain) {
			layoutProposer.propose(layoutProposer.keepUsed(layout))
		}
	}
}

// allMembersKnowLayouts reports whether no member of the log is known to run an older program, which
// would ignore the command and so reach another state than the other members. A member that this host
// has never heard of does not count: without it, the loss of a keeper before the first start would
// leave the failure domains without a layout.
func (layoutProposer *layoutProposer) allMembersKnowLayouts() bool {
	coordinator := layoutProposer.coordinator
	for _, member := range coordinator.keeper.Members() {
		if member.Host == coordinator.Self.Host {
			continue
		}
		_, known := coordinator.gossiper.State(member.Host)
		if _, published := coordinator.gossiper.Record(member.Host, layoutRecordKey); known && !published {
			return false
		}
	}
	return true
}

// keepUsed returns the layout that the hosts use already, if the keepers have lost it, or else the
// decided one.
func (layoutProposer *layoutProposer) keepUsed(decided configurer.Layout) configurer.Layout {
	inForce := layoutProposer.coordinator.follower.InForce()
	if used, known := inForce.Layout(decided.FailureDomain); known {
		return used
	}
	return decided
}

func (layoutProposer *layoutProposer) isProposed(domain identifier.FailureDomain) bool {
	for _, proposal := range layoutProposer.proposals {
		if proposal.layout.FailureDomain == domain {
			return true
		}
	}
	return false
}

func (layoutProposer *layoutProposer) propose(layout configurer.Layout) {
	coordinator := layoutProposer.coordinator
	coordinator.nextNonce++
	layoutProposer.proposals[coordinator.nextNonce] = layoutProposal{
		layout: layout, timeoutAt: coordinator.now.Add(layoutProposalTimeout),
	}
	at := time.UnixMilli(int64(coordinator.WallStart)).Add(time.Duration(coordinator.now))
	coordinator.sendRequest(coordinator.Self.Host, keeper.Request{
		Origin: coordinator.Self.Host, Nonce: coordinator.nextNonce,
		Command: keeper.Command{Layout: &configurer.SetLayout{
			Request: identifier.RequestID(fmt.Sprintf("layout-%s-%d", layout.FailureDomain, layout.Cells)),
			Layout:  layout, At: at.UTC().Format(time.RFC3339),
		}},
	})
}

// handleReply processes the outcome of a proposal, and reports whether the reply was for one.
func (layoutProposer *layoutProposer) handleReply(reply *keeper.Reply) bool {
	proposal, found := layoutProposer.proposals[reply.Nonce]
	if !found {
		return false
	}
	delete(layoutProposer.proposals, reply.Nonce)
	if reply.Kind == keeper.ReplyApplied && reply.Result.Change != nil {
		layoutProposer.coordinator.outputs.add(&LayoutProposed{Layout: proposal.layout, Result: *reply.Result.Change})
	}
	return true
}
