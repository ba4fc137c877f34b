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

// speaker is the host on the other side of a stream. Its failure domain is the one
// that its certificate names; without keys it is empty and nothing is checked.
type speaker struct {
	host          identifier.HostID
	failureDomain identifier.FailureDomain
}

// speakerOf finds out whether the certificate of a stream names the host in whose
// name it speaks.
func (peers *Peers) speakerOf(ctx context.Context, host identifier.HostID) (speaker, error) {
	found := speaker{host: host}
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

// check refuses a batch that speaks for another. A host with good keys of its own
// could else tell that it stands in another failure domain, or who leads a cell
// there, and so draw that failure domain's jobs to itself.
func (speaker *speaker) check(settings *loader.Settings, batch *coordinator.PeerBatch) error {
	if speaker.failureDomain == "" {
		return nil
	}
	for index := range batch.Messages {
		message := &batch.Messages[index]
		if err := speaker.checkDomains(message); err != nil {
			return err
		}
		if message.Gossip == nil {
			continue
		}
		if err := speaker.checkGossip(settings, message.Gossip); err != nil {
			return err
		}
	}
	return nil
}

func (speaker *speaker) checkDomains(message *coordinator.PeerMessage) error {
	if notice := message.LeadNotice; notice != nil && notice.FailureDomain != speaker.failureDomain {
		return speaker.refused("tells who leads a cell of failure domain %q", notice.FailureDomain)
	}
	if notice := message.Load; notice != nil && notice.FailureDomain != speaker.failureDomain {
		return speaker.refused("tells the load of failure domain %q", notice.FailureDomain)
	}
	if spill := message.Spill; spill != nil && (spill.Job == nil || spill.Job.Home() != speaker.failureDomain) {
		return speaker.refused("hands over a job of another failure domain")
	}
	if query := message.GuestQuery; query != nil && query.FailureDomain != speaker.failureDomain {
		return speaker.refused("asks for the jobs of failure domain %q", query.FailureDomain)
	}
	if reply := message.GuestReply; reply != nil && reply.FailureDomain != speaker.failureDomain {
		return speaker.refused("tells of jobs that failure domain %q has had", reply.FailureDomain)
	}
	if sync := message.IntentSync; sync != nil && sync.FailureDomain != speaker.failureDomain {
		return speaker.refused("tells of the workers of failure domain %q", sync.FailureDomain)
	}
	return nil
}

// checkGossip lets a host tell of others, as membership needs, but not that it
// stands elsewhere. News that a host of the settings stands elsewhere is taken out:
// the sender may only hand it on, so its other news counts.
func (speaker *speaker) checkGossip(settings *loader.Settings, message *gossiper.Message) error {
	if message.From != speaker.host {
		return speaker.refused("sends gossip of host %q", message.From)
	}
	for _, state := range message.States {
		if state.Member.Host == speaker.host && state.Member.FailureDomain != speaker.failureDomain {
			return speaker.refused("says that it stands in failure domain %q", state.Member.FailureDomain)
		}
	}
	message.States = slices.DeleteFunc(message.States, func(state gossiper.State) bool {
		listed := listedDomain(settings, state.Member.Host)
		return listed != "" && state.Member.FailureDomain != "" && state.Member.FailureDomain != listed
	})
	return nil
}

func (speaker *speaker) refused(format string, arguments ...any) error {
	return newError("check batch of host "+string(speaker.host), ErrorRefused, eris.Errorf(format, arguments...))
}

// listedDomain is the failure domain of a host that the settings list, else empty.
func listedDomain(settings *loader.Settings, host identifier.HostID) identifier.FailureDomain {
	for _, listed := range settings.Hosts {
		if listed.Host == host {
			return listed.FailureDomain
		}
	}
	return ""
}
