package elector

import (
	"slices"
	"strconv"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// announcementPrefix starts the keys of the member records that announce leads;
// the cell's number follows, and the value is the epoch in decimal digits.
const announcementPrefix = "lead-cell-"

// Announce turns decisions into the records that tell the other hosts of them.
func Announce(decided []Output) []gossiper.Input {
	var inputs []gossiper.Input
	for _, output := range decided {
		switch output := output.(type) {
		case LeadTaken:
			value := strconv.AppendUint(nil, uint64(output.Epoch), 10)
			inputs = append(inputs, gossiper.RecordSet{Key: announcementKey(output.Cell), Value: value})
		case LeadLost:
			inputs = append(inputs, gossiper.RecordSet{Key: announcementKey(output.Cell)})
		}
	}
	return inputs
}

// Follow turns what the membership told into what the elector takes in. The
// view must be the one that told it, after that tick.
func Follow(view *gossiper.Gossiper, told []gossiper.Output) []Input {
	var inputs []Input
	var domains []identifier.FailureDomain
	for _, output := range told {
		switch output := output.(type) {
		case gossiper.MemberChanged:
			member := output.New.Member
			if output.Old != nil && output.Old.Member.Incarnation != member.Incarnation {
				inputs = append(inputs, HostRestarted{FailureDomain: member.FailureDomain, Host: member.Host})
			}
			if !slices.Contains(domains, member.FailureDomain) {
				domains = append(domains, member.FailureDomain)
			}
		case gossiper.RecordChanged:
			inputs = append(inputs, followRecord(view, output)...)
		}
	}
	for _, domain := range domains {
		inputs = append(inputs, HostsChanged{FailureDomain: domain, Living: livingHosts(view, domain)})
	}
	return inputs
}

// followRecord reads an announcement; other records give nothing.
func followRecord(view *gossiper.Gossiper, changed gossiper.RecordChanged) []Input {
	digits, isAnnouncement := strings.CutPrefix(changed.Record.Key, announcementPrefix)
	state, known := view.State(changed.Host)
	if !isAnnouncement || !known {
		return nil
	}
	number, err := strconv.Atoi(digits)
	if err != nil {
		return nil
	}
	cell := identifier.CellID(number)
	domain := state.Member.FailureDomain
	epoch, err := strconv.ParseUint(string(changed.Record.Value), 10, 64)
	if err != nil {
		return []Input{LeadWithdrawn{FailureDomain: domain, Host: changed.Host, Cell: cell}}
	}
	return []Input{LeadSeen{
		FailureDomain: domain, Host: changed.Host, Cell: cell, Epoch: identifier.Epoch(epoch),
	}}
}

func livingHosts(view *gossiper.Gossiper, domain identifier.FailureDomain) []identifier.HostID {
	var hosts []identifier.HostID
	for _, state := range view.Members() {
		if state.Living() && state.Member.FailureDomain == domain {
			hosts = append(hosts, state.Member.Host)
		}
	}
	return hosts
}

func announcementKey(cell identifier.CellID) string {
	return announcementPrefix + strconv.Itoa(int(cell))
}
