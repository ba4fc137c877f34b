package renewer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"

	"github.com/stoathitch/stoathitch/pkg/renewer"
)

// TestLease prints the lease for the bounds of each case, and whether the runs of lost hosts are over
// before their callers are back.
func TestLease(t *testing.T) {
	datadriven.RunTest(t, "testdata/lease", func(t *testing.T, data *datadriven.TestData) string {
		bounds := renewer.Bounds{MaxLease: duration(t, data, "max"), ResubmitDelay: duration(t, data, "resubmit")}
		lease := bounds.Lease()
		return fmt.Sprintf("lease %v, lapsed after %v, safe %v\n", lease, renewer.LapseTime(lease).Round(time.Millisecond), bounds.IsSafe())
	})
}

func duration(t *testing.T, data *datadriven.TestData, key string) time.Duration {
	text := "0s"
	data.MaybeScanArgs(t, key, &text)
	value, err := time.ParseDuration(text)
	if err != nil {
		t.Fatal(err)
	}
	return value
}
