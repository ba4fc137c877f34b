package integration_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"
)

// version is a version of the configuration as operators read it.
type version struct {
	Version  uint64          `json:"version"`
	Operator string          `json:"operator"`
	Request  string          `json:"request"`
	Document json.RawMessage `json:"document"`
}

// change is a change of the configuration as operators send it.
type change struct {
	Request  string          `json:"request"`
	Expected uint64          `json:"expected"`
	Operator string          `json:"operator"`
	Document json.RawMessage `json:"document"`
}

// changeResult is the answer to a change.
type changeResult struct {
	Verdict string `json:"verdict"`
	Version uint64 `json:"version"`
	Error   string `json:"error"`
}

// changeTimeout is above the time that a host tries to reach the keepers for.
const changeTimeout = 8 * time.Second

var changeClient = &http.Client{Timeout: changeTimeout, Transport: &http.Transport{DisableKeepAlives: true}}

func (daemon *daemon) configuration() (version, error) {
	var seen version
	err := getJSON(daemon.url("/v1/config"), &seen)
	return seen, err
}

// changeConfiguration sends one change to one host. An error means that nobody
// knows what became of it.
func (daemon *daemon) changeConfiguration(change *change) (changeResult, error) {
	var result changeResult
	body, err := json.Marshal(change)
	if err != nil {
		return result, err
	}
	response, err := changeClient.Post(daemon.url("/v1/config"), "application/json", bytes.NewReader(body))
	if err != nil {
		return result, err
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&result); err != nil {
		return result, err
	}
	if result.Error != "" {
		return result, fmt.Errorf("%s", result.Error)
	}
	return result, nil
}

// operator makes one change after the other. Each has its number in its document
// and, once accepted, must never be lost. Set the fields before use.
type operator struct {
	name    string
	cluster *cluster

	accepted uint64
	sequence int
	// acknowledged holds the request of every accepted version.
	acknowledged map[uint64]string
}

func documentOf(request string) json.RawMessage {
	return json.RawMessage(fmt.Sprintf(`{"teams":[{"team":"estimates","weight":%d}]}`, 1+len(request)%7))
}

// change makes one change by way of a host and, where no answer comes, of the
// others. It returns how long it took and false when it was not accepted in time.
func (operator *operator) change(daemon int, within time.Duration) (time.Duration, bool) {
	operator.sequence++
	wanted := &change{
		Request: fmt.Sprintf("%s-%d", operator.name, operator.sequence), Expected: operator.accepted, Operator: operator.name,
	}
	wanted.Document = documentOf(wanted.Request)
	begun := time.Now()
	for ; time.Since(begun) < within; daemon++ {
		to := operator.cluster.daemons[daemon%len(operator.cluster.daemons)]
		if !to.alive() {
			continue
		}
		result, err := to.changeConfiguration(wanted)
		if err != nil {
			time.Sleep(20 * time.Millisecond)
			continue
		}
		operator.accepted = max(operator.accepted, result.Version)
		if result.Verdict != "accepted" {
			return time.Since(begun), false
		}
		operator.acknowledge(result.Version, wanted.Request)
		return time.Since(begun), true
	}
	return time.Since(begun), false
}

func (operator *operator) acknowledge(version uint64, request string) {
	if operator.acknowledged == nil {
		operator.acknowledged = make(map[uint64]string)
	}
	operator.acknowledged[version] = request
}

// judge waits until every living host has the newest acknowledged version, and
// checks that every acknowledged one stands in the history.
func (operator *operator) judge(t *testing.T) {
	t.Helper()
	for _, daemon := range operator.cluster.daemons {
		if !daemon.alive() {
			continue
		}
		eventually(t, daemon.name+" has the newest configuration", func() error {
			seen, err := daemon.configuration()
			if err == nil && seen.Version < operator.accepted {
				err = fmt.Errorf("version %d, accepted was %d", seen.Version, operator.accepted)
			}
			return err
		})
		if daemon.keeper() {
			eventually(t, daemon.name+" has every acknowledged change", func() error { return operator.missing(daemon) })
		}
	}
}

func (operator *operator) missing(daemon *daemon) error {
	var history []version
	if err := getJSON(daemon.url("/v1/config/history"), &history); err != nil {
		return err
	}
	kept := make(map[uint64]string)
	for _, version := range history {
		kept[version.Version] = version.Request
	}
	var missing []string
	for number, request := range operator.acknowledged {
		if kept[number] != request {
			missing = append(missing, fmt.Sprintf("%d is %q, acknowledged was %q", number, kept[number], request))
		}
	}
	if len(missing) > 0 {
		return fmt.Errorf("%s", strings.Join(missing, "; "))
	}
	return nil
}

// watcher reads the configuration of every host over and over and fails the test
// when a host goes back to an older one, be it after a restart.
type watcher struct {
	cluster *cluster

	mutex  sync.Mutex
	newest map[string]uint64
	faults []string
	done   chan struct{}
	ended  sync.WaitGroup
}

func startWatcher(cluster *cluster) *watcher {
	watcher := &watcher{cluster: cluster, newest: make(map[string]uint64), done: make(chan struct{})}
	for _, daemon := range cluster.daemons {
		watcher.ended.Go(func() { watcher.watch(daemon) })
	}
	return watcher
}

func (watcher *watcher) watch(daemon *daemon) {
	for {
		select {
		case <-watcher.done:
			return
		case <-time.After(25 * time.Millisecond):
		}
		if !daemon.alive() {
			continue
		}
		if seen, err := daemon.configuration(); err == nil && seen.Document != nil {
			watcher.see(daemon.name, seen.Version)
		}
	}
}

func (watcher *watcher) see(host string, version uint64) {
	watcher.mutex.Lock()
	defer watcher.mutex.Unlock()
	if version < watcher.newest[host] {
		watcher.faults = append(watcher.faults, fmt.Sprintf("%s %s went back from version %d to %d",
			time.Now().Format(time.TimeOnly), host, watcher.newest[host], version))
		return
	}
	watcher.newest[host] = version
}

func (watcher *watcher) judge(t *testing.T) {
	t.Helper()
	close(watcher.done)
	watcher.ended.Wait()
	for index, fault := range watcher.faults {
		if index < 10 {
			t.Error(fault)
		}
	}
	if len(watcher.faults) > 10 {
		t.Errorf("and %d more reads of older versions", len(watcher.faults)-10)
	}
}
