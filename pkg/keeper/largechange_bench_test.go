package keeper

import (
	"bytes"
	"fmt"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/configurer"
	"github.com/stoathitch/stoathitch/pkg/identifier"
)

// largeDocumentBytes is the size of a platform's configuration of 1,743 routes.
const largeDocumentBytes = 303 << 10

func largeChange(number int) *Command {
	return &Command{Change: &configurer.Change{
		Request: identifier.RequestID(fmt.Sprint(number)), Operator: "platform", Revision: identifier.ConfigRevision(number),
		Document: bytes.Repeat([]byte{'x'}, largeDocumentBytes),
	}}
}

// BenchmarkLargeChange encodes a large configuration, and decodes and applies it as a keeper does.
func BenchmarkLargeChange(b *testing.B) {
	b.ReportAllocs()
	machine := newMachine()
	number := 0
	for b.Loop() {
		number++
		data, err := encodeCommand(largeChange(number))
		if err != nil {
			b.Fatal(err)
		}
		machine.Apply(identifier.LogIndex(number), data)
	}
}

// BenchmarkSnapshotOfLargeChanges takes a snapshot after 200 large configurations.
func BenchmarkSnapshotOfLargeChanges(b *testing.B) {
	b.ReportAllocs()
	machine := newMachine()
	for number := range 200 {
		machine.execute(identifier.LogIndex(number), largeChange(number+1))
	}
	size := 0
	for b.Loop() {
		size = len(machine.Snapshot())
	}
	b.ReportMetric(float64(size), "snapshot-bytes")
}
