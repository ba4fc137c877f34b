package connector

import (
	"context"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/securer"
)

// sender is the host on the other side of a stream. Its failure domain is the one that its
// certificate names; without keys it is empty and nothing is checked.
type sender struct {
	host          identifier.HostID
	failureDomain identifier.FailureDomain
}

// authenticateSender checks that the certificate of a stream names the host that the stream claims
// to come from.
func (peers *Peers) authenticateSender(ctx context.Context, host identifier.HostID) (sender, error) {
	found := sender{host: host}
	if peers.Keys == nil {
		return found, nil
	}
	certificate, err := certificateOf(ctx)
	if err != nil {
		return found, err
	}
	if err := hostCheck(peers.Settings, host)(certificate); err != nil {
		return found, err
	}
	identities, err := securer.IdentitiesOf(certificate)
	if err != nil {
		return found, newError("check certificate", ErrorRefused, err)
	}
	for _, identity := range identities {
		if identity.Kind == securer.KindHost && identity.Name == string(host) {
			found.failureDomain = identifier.FailureDomain(identity.Scope)
		}
	}
	return found, nil
}

// checkBatch refuses a batch that makes claims on behalf of another failure domain. Otherwise a
// host with valid keys of its own could claim to stand in another failure domain or announce the
// lead of a cell there, and so attract that failure domain's jobs.
func (sender *sender) checkBatch(settings *loader.Settings, batch *coordinator.PeerBatch) error {
	if sender.failureDomain == "" {
		return nil
	}
	for index := range batch.Messages {
		message := &batch.Messages[index]
		if err := sender.checkDomains(message); err != nil {
			return err
		}
		if message.Gossip == nil {
			continue
		}
		if err := sender.checkGossip(settings, message.Gossip); err != nil {
			return err
		}
	}
	return nil
}

func (sender *sender) checkDomains(message *coordinator.PeerMessage) error {
	if notice := message.LeadNotice; notice != nil && notice.FailureDomain != sender.failureDomain {
		return sender.refused("announces the lead of a cell of failure domain %q", notice.FailureDomain)
	}
	if notice := message.Load; notice != nil && notice.FailureDomain != sender.failureDomain {
		return sender.refused("reports the load of failure domain %q", notice.FailureDomain)
	}
	if spill := message.Spill; spill != nil && (spill.Job == nil || spill.Job.Home() != sender.failureDomain) {
		return sender.refused("hands over a job of another failure domain")
	}
	if query := message.GuestQuery; query != nil && query.FailureDomain != sender.failureDomain {
		return sender.refused("asks for the jobs of failure domain %q", query.FailureDomain)
	}
	if reply := message.GuestReply; reply != nil && reply.FailureDomain != sender.failureDomain {
		return sender.refused("replies about jobs of failure domain %q", reply.FailureDomain)
	}
	if sync := message.IntentSync; sync != nil && sync.FailureDomain != sender.failureDomain {
		return sender.refused("sends the workers of failure domain %q", sync.FailureDomain)
	}
	return nil
}

// checkGossip allows gossip about other hosts, as membership needs, but refuses a sender that
// claims another failure domain for itself. States that place a host of the settings in a wrong
// failure domain are removed without a refusal: the sender may only have relayed them, so its
// other states are used.
func (sender *sender) checkGossip(settings *loader.Settings, message *gossiper.Message) error {
	if message.From != sender.host {
		return sender.refused("sends gossip of host %q", message.From)
	}
	for _, state := range message.States {
		if state.Member.Host == sender.host && state.Member.FailureDomain != sender.failureDomain {
			return sender.refused("claims to be in failure domain %q", state.Member.FailureDomain)
		}
	}
	message.States = slices.DeleteFunc(message.States, func(state gossiper.State) bool {
		listed := listedDomain(settings, state.Member.Host)
		return listed != "" && state.Member.FailureDomain != "" && state.Member.FailureDomain != listed
	})
	return nil
}

func (sender *sender) refused(format string, arguments ...any) error {
	return newError("check batch of host "+string(sender.host), ErrorRefused, eris.Errorf(format, arguments...))
}

// listedDomain returns the failure domain of a host that the settings list, or an empty one.
func listedDomain(settings *loader.Settings, host identifier.HostID) identifier.FailureDomain {
	for _, listed := range settings.Hosts {
		if listed.Host == host {
			return listed.FailureDomain
		}
	}
	return ""
}
