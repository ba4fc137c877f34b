package assembler_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/charmbracelet/log"
	"google.golang.org/grpc"

	"github.com/stoathitch/stoathitch/pkg/executor"
	backendv1 "github.com/stoathitch/stoathitch/pkg/protocol/backend/v1"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// The benchmarks' stand-ins never lack a slot.
const (
	benchServers = 4
	benchSlots   = 2000
	benchTasks   = 50
	// benchCallers is how many callers send jobs at the same time.
	benchCallers = 32
)

// BenchmarkAddedLatency measures a task of no run time, in turn by gRPC directly
// on the stream of a stand-in and as a job of one task through the system by HTTP.
// What the system adds is the difference.
func BenchmarkAddedLatency(b *testing.B) {
	for _, hosts := range []int{1, 3} {
		b.Run(fmt.Sprintf("hosts=%d", hosts), func(b *testing.B) {
			deployment := startDeployment(b, hosts, nil)
			deployment.startServers(b, 1, benchSlots)
			deployment.waitUntilServing(b)
			direct := startDirect(b)
			measureAdded(b, direct, deployment.hosts[len(deployment.hosts)-1])
		})
	}
}

func measureAdded(b *testing.B, direct *directHost, host *requester.Requester) {
	directly, through := newMicros(), newMicros()
	b.ReportAllocs()
	for number := 0; b.Loop(); number++ {
		begun := time.Now()
		direct.runTask(b, fmt.Sprintf("direct-%d", number))
		answered := time.Now()
		submitJob(b, host, fmt.Sprintf("through-%d", number), 1)
		_ = directly.RecordValue(answered.Sub(begun).Microseconds())
		_ = through.RecordValue(time.Since(answered).Microseconds())
	}
	for _, quantile := range []float64{50, 99} {
		b.ReportMetric(float64(directly.ValueAtQuantile(quantile)), fmt.Sprintf("direct-p%v-µs", quantile))
		b.ReportMetric(float64(through.ValueAtQuantile(quantile)), fmt.Sprintf("through-p%v-µs", quantile))
		b.ReportMetric(float64(through.ValueAtQuantile(quantile)-directly.ValueAtQuantile(quantile)), fmt.Sprintf("added-p%v-µs", quantile))
	}
}

func newMicros() *hdrhistogram.Histogram {
	return hdrhistogram.New(1, time.Minute.Microseconds(), 3)
}

// BenchmarkTaskStarts measures jobs of 50 tasks of no run time. The process's
// processor time and allocations include callers and stand-ins; those of a daemon
// alone are measured by docs/dev/measure-data-path.sh.
func BenchmarkTaskStarts(b *testing.B) {
	deployment := startDeployment(b, 1, nil)
	deployment.startServers(b, benchServers, benchSlots)
	deployment.waitUntilServing(b)
	host := deployment.hosts[0]
	host.Client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	spent := processorTime()
	b.ResetTimer()
	runCallers(b, host)
	b.StopTimer()
	spent = processorTime() - spent
	runtime.ReadMemStats(&after)
	tasks := float64(b.N * benchTasks)
	b.ReportMetric(tasks/b.Elapsed().Seconds(), "starts/s")
	b.ReportMetric(float64(spent.Microseconds())/tasks, "cpu-µs/task")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tasks, "allocs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/tasks, "B/task")
}

func runCallers(b *testing.B, host *requester.Requester) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range benchCallers {
		group.Go(func() {
			for number := next.Add(1); number <= int64(b.N); number = next.Add(1) {
				submitJob(b, host, fmt.Sprintf("starts-%d-%d", b.N, number), benchTasks)
			}
		})
	}
	group.Wait()
}

// processorTime returns what this process has used, its system calls included.
func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		panic(err) // The arguments are constants.
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func submitJob(b *testing.B, host *requester.Requester, name string, tasks int) {
	var body strings.Builder
	fmt.Fprintf(&body, `{"submission":%q,"job":%q,"caller":"garage-7","team":"estimates","class":"counter","repeatable":true,"tasks":[`, name, name)
	for task := range tasks {
		if task > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"task":"t-%d","payload":{"run-time":"0s"},"declared-run-time":"0s"}`, task)
	}
	body.WriteString("]}")
	answer, err := host.Submit(context.Background(), []byte(body.String()))
	if err != nil {
		b.Error(err)
		return
	}
	if len(answer.Answers) != tasks {
		b.Errorf("%d of %d tasks answered: %s %s", len(answer.Answers), tasks, answer.Outcome, answer.Reason)
	}
}

// directHost stands in for an entry host: it sends a start to the one stand-in
// that is attached and waits for its answer.
type directHost struct {
	backendv1.UnimplementedEntryHostServer
	starts  chan *backendv1.HostMessage
	answers chan *backendv1.ServerMessage
}

// startDirect runs a stand-in and serves its stream until the benchmark ends.
func startDirect(b *testing.B) *directHost {
	host := &directHost{starts: make(chan *backendv1.HostMessage, 1), answers: make(chan *backendv1.ServerMessage, 1)}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer()
	backendv1.RegisterEntryHostServer(server, host)
	go func() { _ = server.Serve(listener) }()
	running, stop := context.WithCancel(context.Background())
	standIn := &executor.Executor{
		Name: "direct", FailureDomain: "thu-duc", Slots: benchSlots,
		EntryHosts: []string{listener.Addr().String()}, Log: log.New(&lockedBuffer{}),
	}
	var group sync.WaitGroup
	group.Go(func() { standIn.Run(running) })
	b.Cleanup(func() {
		stop()
		server.Stop()
		group.Wait()
	})
	return host
}

// Attach leads cell 0 and passes messages on.
func (host *directHost) Attach(stream grpc.BidiStreamingServer[backendv1.ServerMessage, backendv1.HostMessage]) error {
	if err := stream.Send(&backendv1.HostMessage{Lead: &backendv1.Lead{Epoch: 1}}); err != nil {
		return err
	}
	go func() {
		for {
			select {
			case <-stream.Context().Done():
				return
			case message := <-host.starts:
				_ = stream.Send(message)
			}
		}
	}()
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

func (host *directHost) runTask(b *testing.B, name string) {
	start := &backendv1.Start{Submission: name, Job: name, Task: "t-0", Epoch: 1, Payload: []byte(`{"run-time":"0s"}`)}
	received := &backendv1.AnswerReceived{Submission: name, Task: "t-0"}
	host.starts <- &backendv1.HostMessage{Starts: []*backendv1.Start{start}}
	answer := <-host.answers
	if answer.GetAnswers()[0].GetSubmission() != name {
		b.Fatalf("the answer of another task: %v", answer)
	}
	host.starts <- &backendv1.HostMessage{Received: []*backendv1.AnswerReceived{received}}
}
