package elector

import (
	"slices"
	"strconv"
	"strings"

	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// announcementPrefix starts the keys of the member records that announce leads. The cell's
// number follows; the value is the epoch in decimal digits.
const announcementPrefix = "lead-cell-"

// Announce converts decisions into the membership records that announce them to the other
// hosts.
func Announce(decided []Output) []gossiper.Input {
	var inputs []gossiper.Input
	for _, output := range decided {
		switch output := output.(type) {
		case LeadTaken:
			value := strconv.AppendUint(nil, uint64(output.Epoch), 10)
			inputs = append(inputs, gossiper.RecordPublished{Key: announcementKey(output.Cell), Value: value})
		case LeadLost:
			inputs = append(inputs, gossiper.RecordPublished{Key: announcementKey(output.Cell)})
		}
	}
	return inputs
}

// InputsFrom converts outputs of the membership into inputs of the elector. The view must be
// the one that produced them, after that tick.
func InputsFrom(view *gossiper.Gossiper, outputs []gossiper.Output) []Input {
	var inputs []Input
	var domains []identifier.FailureDomain
	for _, output := range outputs {
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
		inputs = append(inputs, HostsChanged{FailureDomain: domain, Living: livingHosts(view, domain), Processors: processorsOf(view, domain)})
	}
	return inputs
}

// followRecord parses an announcement and returns nil for any other record.
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

// processorsOf returns the processor capacities that the living hosts of a failure domain state.
func processorsOf(view *gossiper.Gossiper, domain identifier.FailureDomain) map[identifier.HostID]identifier.MilliCPU {
	processors := make(map[identifier.HostID]identifier.MilliCPU)
	for _, state := range view.Members() {
		if processor := state.Member.Capacity.OrUnknown().MilliCPU; processor > 0 && state.Living() && state.Member.FailureDomain == domain {
			processors[state.Member.Host] = processor
		}
	}
	return processors
}

func announcementKey(cell identifier.CellID) string {
	return announcementPrefix + strconv.Itoa(int(cell))
}
