package integration_test

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/coordinator"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// askTimeout bounds a request that a living host answers from memory.
const askTimeout = 2 * time.Second

// operatorClient keeps no connections, so that none outlives a daemon.
var operatorClient = &http.Client{Timeout: askTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

// getJSON reads what a host says on one of its paths.
func getJSON(url string, into any) error {
	request, err := http.NewRequestWithContext(context.Background(), http.MethodGet, url, nil)
	if err != nil {
		return err
	}
	response, err := operatorClient.Do(request)
	if err != nil {
		return err
	}
	defer func() { _ = response.Body.Close() }()
	return json.NewDecoder(response.Body).Decode(into)
}

func (daemon *daemon) status() (coordinator.Status, error) {
	var status coordinator.Status
	err := getJSON(daemon.url("/v1/status"), &status)
	return status, err
}

// waitUntilServing waits until a job sent to each host completes there, and all
// keepers agree on a leader.
func (cluster *cluster) waitUntilServing(t *testing.T) {
	t.Helper()
	for index, daemon := range cluster.daemons {
		attempt := 0
		eventually(t, daemon.name+" serves", func() error {
			attempt++
			job := newJob(fmt.Sprintf("probe-%d-%d-%d", time.Now().UnixNano(), index, attempt), 1, 10*time.Millisecond, true)
			job.MayRun = []identifier.FailureDomain{daemon.settings.FailureDomain}
			answer, err := send(daemon, job, askTimeout)
			if err != nil {
				return err
			}
			if answer.Outcome != outcomeComplete {
				return fmt.Errorf("%s: %s %s", answer.Outcome, answer.Reason, answer.Detail)
			}
			return nil
		})
	}
	eventually(t, "a keeper leads", func() error {
		_, err := cluster.keeperLeader()
		return err
	})
}

// keeperLeader returns the leader that a majority of the keepers names.
func (cluster *cluster) keeperLeader() (identifier.HostID, error) {
	votes := make(map[identifier.HostID]int)
	for _, daemon := range cluster.daemons {
		if !daemon.keeper() || !daemon.alive() {
			continue
		}
		status, err := daemon.status()
		if err != nil || status.Keeper == nil {
			continue
		}
		votes[status.Keeper.Leader]++
		if status.Keeper.Leader != "" && votes[status.Keeper.Leader] >= 2 {
			return status.Keeper.Leader, nil
		}
	}
	return "", fmt.Errorf("no leader: %v", votes)
}

// cellLead returns the lead of the first cell of a failure domain, as all living
// hosts of it see it.
func (cluster *cluster) cellLead(domain identifier.FailureDomain) (identifier.HostID, error) {
	var lead identifier.HostID
	for _, daemon := range cluster.daemonsOf(domain) {
		if !daemon.alive() {
			continue
		}
		status, err := daemon.status()
		if err != nil {
			return "", err
		}
		seen := status.Cells[0].Lead
		if seen == "" || lead != "" && seen != lead {
			return "", fmt.Errorf("%s sees lead %q, others %q", daemon.name, seen, lead)
		}
		lead = seen
	}
	if lead == "" {
		return "", fmt.Errorf("no living host in %s", domain)
	}
	return lead, nil
}

// awaitCellLead waits until a failure domain agrees on its lead.
func (cluster *cluster) awaitCellLead(t *testing.T, domain identifier.FailureDomain) *daemon {
	t.Helper()
	var lead identifier.HostID
	eventually(t, "a lead in "+string(domain), func() error {
		var err error
		lead, err = cluster.cellLead(domain)
		return err
	})
	return cluster.daemon(t, lead)
}
