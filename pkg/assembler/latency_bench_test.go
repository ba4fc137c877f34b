package assembler_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/executor"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// directHost is a minimal entry host: it sends a start to a backend server and waits for its answer
// on the stream.
type directHost struct {
	backendv1.UnimplementedEntryHostServer
	attached chan grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage]
	answers  chan *backendv1.ServerMessage
}

// Attach publishes the stream and forwards its answers.
func (host *directHost) Attach(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage]) error {
	if _, err := stream.Recv(); err != nil {
		return err
	}
	host.attached <- stream
	for {
		message, err := stream.Recv()
		if err != nil {
			return err
		}
		if len(message.GetAnswers()) > 0 {
			host.answers <- message
		}
	}
}

// startDirect runs a directHost with a stand-in backend server of its own and returns a function that
// runs one task there.
func startDirect(b *testing.B) func(number int) {
	b.Helper()
	host := &directHost{
		attached: make(chan grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage], 1),
		answers:  make(chan *backendv1.ServerMessage, 1),
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer()
	backendv1.RegisterEntryHostServer(server, host)
	standIn := &executor.Executor{
		Name: "direct", FailureDomain: "thu-duc", Rack: "rack-0", Slots: 8,
		EntryHosts: []string{listener.Addr().String()}, Log: log.New(io.Discard),
	}
	running, stop := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = server.Serve(listener) })
	group.Go(func() { standIn.Run(running) })
	b.Cleanup(func() {
		stop()
		server.Stop()
		group.Wait()
	})
	stream := <-host.attached
	if err := stream.Send(&backendv1.HostMessage{Lead: &backendv1.Lead{Epoch: 1}}); err != nil {
		b.Fatal(err)
	}
	return func(number int) {
		name := fmt.Sprint("direct-", number)
		start := &backendv1.Start{Submission: name, Job: name, Task: "a", Epoch: 1, Payload: []byte(`{"run-time":"0s"}`)}
		if err := stream.Send(&backendv1.HostMessage{Starts: []*backendv1.Start{start}}); err != nil {
			b.Fatal(err)
		}
		<-host.answers
		received := &backendv1.AnswerReceived{Submission: name, Task: "a"}
		if err := stream.Send(&backendv1.HostMessage{Received: []*backendv1.AnswerReceived{received}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkAddedLatency runs tasks without run time, one after the other, alternately over plain gRPC
// ("direct") and as jobs through the system, and reports the latencies side by side. "alone" is a
// system of one entry host; "pair-0" and "pair-1" are the hosts of a system of two, where the second
// host stores each submission before its start. "http" is a request that needs nothing of the system.
func BenchmarkAddedLatency(b *testing.B) {
	direct := startDirect(b)
	alone := startDeployment(b, 1, nil)
	pair := startDeployment(b, 2, nil)
	for _, deployment := range []*deployment{alone, pair} {
		deployment.startServers(b, 1, 8)
		deployment.waitUntilServing(b)
	}
	hosts := map[string]*requester.Requester{"alone": alone.hosts[0], "pair-0": pair.hosts[0], "pair-1": pair.hosts[1]}
	histograms := map[string]*hdrhistogram.Histogram{}
	measure := func(name string, run func()) {
		if histograms[name] == nil {
			histograms[name] = hdrhistogram.New(1, time.Minute.Nanoseconds(), 3)
		}
		begun := time.Now()
		run()
		// A time beyond a minute would have failed the run.
		_ = histograms[name].RecordValue(time.Since(begun).Nanoseconds())
	}
	number := 0
	for b.Loop() {
		number++
		measure("direct", func() { direct(number) })
		measure("http", func() { getHealth(b, alone.hosts[0].Host) })
		for name, host := range hosts {
			measure(name, func() {
				answer, err := host.Submit(b.Context(), smallJob(fmt.Sprint("bench-", name, "-", number)))
				if err != nil || answer.Outcome.String() != "complete" {
					b.Fatalf("%+v, %v", answer, err)
				}
			})
		}
	}
	for name, histogram := range histograms {
		b.ReportMetric(float64(histogram.ValueAtQuantile(50))/1000, name+"-p50-µs")
		b.ReportMetric(float64(histogram.ValueAtQuantile(99))/1000, name+"-p99-µs")
	}
}

func getHealth(b *testing.B, host string) {
	response, err := http.Get(host + "/healthz")
	if err != nil {
		b.Fatal(err)
	}
	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
