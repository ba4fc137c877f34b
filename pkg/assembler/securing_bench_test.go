package assembler_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/stoathitch/stoathitch/pkg/requester"
)

// BenchmarkSecuredLatency runs jobs of one task without run time, alternately through a host in clear
// text and through one with TLS on all connections and a token, and reports the latencies side by
// side.
func BenchmarkSecuredLatency(b *testing.B) {
	open := startDeployment(b, 1, nil)
	open.startServers(b, 1, 8)
	open.waitUntilServing(b)
	secured := startSecureDeployment(b, 1)
	secured.attach(b, "server-0", secured.keys(b, "stoathitch://thu-duc/backend-server/server-0"))
	secured.hosts[0] = secured.as(b, secured.hosts[0].Host, "garage-7")
	secured.waitUntilServing(b)
	names := []string{"clear", "secured"}
	hosts := []*requester.Requester{open.hosts[0], secured.hosts[0]}
	histograms := make([]*hdrhistogram.Histogram, len(hosts))
	for index := range hosts {
		histograms[index] = hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
	}
	number := 0
	for b.Loop() {
		number++
		for index, host := range hosts {
			begun := time.Now()
			answer, err := host.Submit(b.Context(), smallJob(fmt.Sprint("bench-", index, "-", number)))
			if err != nil || answer.Outcome.String() != "complete" {
				b.Fatalf("%+v, %v", answer, err)
			}
			// A time beyond a minute would have failed the run.
			_ = histograms[index].RecordValue(time.Since(begun).Nanoseconds())
		}
	}
	for index, histogram := range histograms {
		b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, names[index]+"-p50-µs")
		b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, names[index]+"-p99-µs")
	}
}
