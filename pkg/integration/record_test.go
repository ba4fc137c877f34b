package integration_test

import (
	"bufio"
	"encoding/json"
	"errors"
	"io/fs"
	"os"
	"testing"
)

// start is one line of the record of a stand-in: a task that really started.
type start struct {
	BackendServer string `json:"backend-server"`
	Submission    string `json:"submission"`
	Job           string `json:"job"`
	Task          string `json:"task"`
}

// readRecord returns every start of all stand-ins so far.
func (cluster *cluster) readRecord(t *testing.T) []start {
	t.Helper()
	var all []start
	for _, standIn := range cluster.standIns {
		all = append(all, readRecordFile(t, cluster.recordFile(standIn.name))...)
	}
	return all
}

func readRecordFile(t *testing.T, path string) []start {
	t.Helper()
	file, err := os.Open(path)
	if errors.Is(err, fs.ErrNotExist) {
		return nil
	}
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = file.Close() }()
	var starts []start
	scanner := bufio.NewScanner(file)
	for scanner.Scan() {
		var line start
		if err := json.Unmarshal(scanner.Bytes(), &line); err != nil {
			t.Fatalf("%s: %v in %q", path, err, scanner.Text())
		}
		starts = append(starts, line)
	}
	if err := scanner.Err(); err != nil {
		t.Fatal(err)
	}
	return starts
}

// startsOf returns the starts of a submission so far.
func (cluster *cluster) startsOf(t *testing.T, submission string) []start {
	t.Helper()
	var found []start
	for _, start := range cluster.readRecord(t) {
		if start.Submission == submission {
			found = append(found, start)
		}
	}
	return found
}
