package commander

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"sync"

	"github.com/stoathitch/stoathitch/pkg/dispatcher"
	"github.com/stoathitch/stoathitch/pkg/gossiper"
	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/presenter"
)

// topView is one look at all hosts.
type topView struct {
	Hosts []*topHost `json:"hosts"`
}

// topHost is what one host says, or that it said nothing.
type topHost struct {
	Host     identifier.HostID   `json:"host"`
	Believed gossiper.Status     `json:"believed"`
	Callers  string              `json:"callers-address"`
	Overview *presenter.Overview `json:"overview"`
}

// topSection is one kind of lines.
type topSection struct {
	kind string
	table
}

// look asks the given host, then all that it knows.
func (command *topCommand) look() (*topView, error) {
	ctx, cancel := command.quickly()
	defer cancel()
	first, err := command.requester().Overview(ctx)
	if err != nil {
		return nil, remoteFailure(err)
	}
	view := &topView{Hosts: []*topHost{{Host: first.Host, Callers: first.Callers, Overview: first}}}
	for _, host := range first.Hosts {
		view.Hosts = append(view.Hosts, &topHost{Host: host.Host, Believed: host.Status, Callers: host.Callers})
	}
	command.askEach(view.Hosts[1:])
	return view, nil
}

func (command *topCommand) askEach(hosts []*topHost) {
	permits := make(chan struct{}, askedAtOnce)
	var group sync.WaitGroup
	for _, host := range hosts {
		group.Go(func() {
			permits <- struct{}{}
			defer func() { <-permits }()
			ctx, cancel := command.quickly()
			defer cancel()
			// A host that gives no answer is shown so.
			host.Overview, _ = command.requesterOf(host.Callers).Overview(ctx)
		})
	}
	group.Wait()
}

func (view *topView) sections() []topSection {
	return []topSection{view.hosts(), view.teams(), view.responses()}
}

func (view *topView) hosts() topSection {
	section := topSection{kind: "host", table: table{headers: []string{
		"HOST", "STATE", "LEADS", "WAITING", "JOBS", "QUEUED", "RUNNING", "UNKNOWN", "SERVERS", "SLOTS",
	}}}
	for _, host := range view.Hosts {
		overview := host.Overview
		if overview == nil {
			section.add(string(host.Host), "no answer ("+host.Believed.String()+")", "-", "-", "-", "-", "-", "-", "-", "-")
			continue
		}
		work := overview.Work
		servers, slots := connected(overview.Servers)
		section.add(string(host.Host), stateOf(&overview.Status), cellsOf(&overview.Status), number(overview.Waiting),
			number(work.Jobs), number(work.Queued), number(work.Running), number(work.Unknown),
			fmt.Sprintf("%d/%d", servers, len(overview.Servers)), number(slots))
	}
	return section
}

func connected(servers []dispatcher.ServerStatus) (count int, slots identifier.Slots) {
	for _, server := range servers {
		if server.Connected {
			count++
			slots += server.Slots
		}
	}
	return count, slots
}

// teams adds up what the leads say; the busiest stand first.
func (view *topView) teams() topSection {
	sums := make(map[identifier.TeamID]*dispatcher.TeamStatus)
	var order []*dispatcher.TeamStatus
	for _, host := range view.Hosts {
		if host.Overview == nil {
			continue
		}
		for _, team := range host.Overview.Teams {
			sum := sums[team.Team]
			if sum == nil {
				sum = &dispatcher.TeamStatus{Team: team.Team}
				sums[team.Team] = sum
				order = append(order, sum)
			}
			sum.Jobs += team.Jobs
			sum.Queued += team.Queued
			sum.Running += team.Running
			sum.Unknown += team.Unknown
		}
	}
	slices.SortFunc(order, func(first, second *dispatcher.TeamStatus) int {
		return cmp.Or(cmp.Compare(second.Queued+second.Running, first.Queued+first.Running), cmp.Compare(first.Team, second.Team))
	})
	section := topSection{kind: "team", table: table{headers: []string{"TEAM", "JOBS", "QUEUED", "RUNNING", "UNKNOWN"}}}
	for _, sum := range order {
		section.add(string(sum.Team), number(sum.Jobs), number(sum.Queued), number(sum.Running), number(sum.Unknown))
	}
	return section
}

// responses lists the response times of each host: percentiles of several hosts
// can't be added up.
func (view *topView) responses() topSection {
	section := topSection{kind: "response", table: table{headers: []string{
		"ANSWERED-BY", "TEAM", "CLASS", "ANSWERS", "P50-MS", "P90-MS", "P99-MS", "MAX-MS",
	}}}
	for _, host := range view.Hosts {
		if host.Overview == nil {
			continue
		}
		for _, response := range host.Overview.Responses {
			section.add(string(host.Host), string(response.Team), string(response.Class), strconv.FormatInt(response.Count, 10),
				milliseconds(response.P50), milliseconds(response.P90), milliseconds(response.P99), milliseconds(response.Max))
		}
	}
	return section
}

func milliseconds(value float64) string { return strconv.FormatFloat(value, 'f', 1, 64) }
