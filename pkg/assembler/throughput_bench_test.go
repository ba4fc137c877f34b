package assembler_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"os/exec"
	"runtime"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/charmbracelet/log"

	"github.com/stoathitch/stoathitch/pkg/executor"
	"github.com/stoathitch/stoathitch/pkg/loader"
	"github.com/stoathitch/stoathitch/pkg/requester"
)

// The load of the throughput benchmark.
const (
	loadVariable   = "STOATHITCH_BENCH_LOAD"
	loadTasksAJob  = 50
	loadCallers    = 32
	loadServers    = 8
	loadSlots      = 250
	loadWarmUpJobs = 200
)

// load describes the work of the load process. The load is generated in a process of its own, so that
// the processor time and the allocations of the benchmark's process are those of the daemon.
type load struct {
	Callers        string `json:"callers"`
	BackendServers string `json:"backend-servers"`
	Jobs           int    `json:"jobs"`
}

// TestLoadProcess is the load process of BenchmarkThroughput, not a test.
func TestLoadProcess(t *testing.T) {
	wanted := os.Getenv(loadVariable)
	if wanted == "" {
		t.Skip("runs only as a part of BenchmarkThroughput")
	}
	var made load
	if err := json.Unmarshal([]byte(wanted), &made); err != nil {
		t.Fatal(err)
	}
	running, stop := context.WithCancel(context.Background())
	defer stop()
	for number := range loadServers {
		standIn := &executor.Executor{
			Name: fmt.Sprint("server-", number), FailureDomain: "thu-duc", Rack: "rack-0", Slots: loadSlots,
			EntryHosts: []string{made.BackendServers}, Log: log.New(io.Discard),
		}
		go standIn.Run(running)
	}
	host := &requester.Requester{Host: made.Callers}
	eventually(t, "the host serves", func(ctx context.Context) bool {
		answer, err := host.Submit(ctx, smallJob(fmt.Sprint("probe-", time.Now().UnixNano())))
		return err == nil && answer.Outcome.String() == "complete"
	})
	made.submit(t, host, "warm-up", loadWarmUpJobs)
	made.synchronize(t)
	made.submit(t, host, "load", made.Jobs)
	made.synchronize(t)
}

// synchronize reports the end of a phase to the benchmark and waits until it has read its clocks.
func (load *load) synchronize(t *testing.T) {
	fmt.Println("ready")
	var line string
	if _, err := fmt.Scanln(&line); err != nil {
		t.Fatal(err)
	}
}

// submit sends jobs from all callers concurrently.
func (load *load) submit(t *testing.T, host *requester.Requester, name string, jobs int) {
	var next atomic.Int64
	var group sync.WaitGroup
	for range loadCallers {
		group.Go(func() {
			for {
				number := next.Add(1)
				if number > int64(jobs) {
					return
				}
				answer, err := host.Submit(t.Context(), wideJob(fmt.Sprint(name, "-", number)))
				if err != nil || answer.Outcome.String() != "complete" {
					t.Errorf("%+v, %v", answer, err)
					return
				}
			}
		})
	}
	group.Wait()
}

func wideJob(name string) []byte {
	var tasks []string
	for number := range loadTasksAJob {
		tasks = append(tasks, fmt.Sprintf(`{"task":"t-%d","payload":{"run-time":"1ms"},"declared-run-time":"1ms"}`, number))
	}
	return fmt.Appendf(nil, `{"submission":%q,"job":%q,"caller":"garage-7","team":"estimates","class":"counter",`+
		`"repeatable":true,"tasks":[%s]}`, name, name, strings.Join(tasks, ","))
}

// BenchmarkThroughput measures one entry host under jobs of 50 tasks. One operation is one task.
// cpu-µs/task is the daemon's processor time; two cores start 2,000,000 / cpu-µs tasks a second if
// they do nothing else.
func BenchmarkThroughput(b *testing.B) {
	deployment := startDeployment(b, 1, func(settings *loader.Settings) { settings.Log.Level = loader.LogLevelWarn })
	jobs := max(b.N/loadTasksAJob, 1)
	made, err := json.Marshal(load{
		Callers:        deployment.hosts[0].Host,
		BackendServers: deployment.settings[0].BackendServersAddress.String(),
		Jobs:           jobs,
	})
	if err != nil {
		b.Fatal(err)
	}
	maker := startLoad(b, string(made))
	maker.await(b)
	var before, after runtime.MemStats
	runtime.ReadMemStats(&before)
	cpuBefore := processorTime(b)
	maker.proceed(b)
	b.ResetTimer()
	maker.await(b)
	b.StopTimer()
	cpu := processorTime(b) - cpuBefore
	runtime.ReadMemStats(&after)
	maker.proceed(b)
	maker.end(b)
	tasks := float64(jobs * loadTasksAJob)
	b.ReportMetric(tasks/b.Elapsed().Seconds(), "tasks/s")
	b.ReportMetric(float64(cpu.Microseconds())/tasks, "cpu-µs/task")
	b.ReportMetric(2*tasks/cpu.Seconds(), "starts/s-on-2-cores")
	b.ReportMetric(float64(after.Mallocs-before.Mallocs)/tasks, "allocs/task")
	b.ReportMetric(float64(after.TotalAlloc-before.TotalAlloc)/tasks, "B/task")
}

// loadGenerator is the load process as the benchmark sees it.
type loadGenerator struct {
	command *exec.Cmd
	input   io.WriteCloser
	output  io.Reader
	errors  bytes.Buffer
}

func startLoad(b *testing.B, wanted string) *loadGenerator {
	b.Helper()
	created := &loadGenerator{command: exec.Command(os.Args[0], "-test.run=^TestLoadProcess$", "-test.timeout=5m")}
	created.command.Env = append(os.Environ(), loadVariable+"="+wanted)
	created.command.Stderr = &created.errors
	var err error
	if created.input, err = created.command.StdinPipe(); err != nil {
		b.Fatal(err)
	}
	if created.output, err = created.command.StdoutPipe(); err != nil {
		b.Fatal(err)
	}
	if err := created.command.Start(); err != nil {
		b.Fatal(err)
	}
	return created
}

// await waits until the process reports the end of a phase.
func (loadGenerator *loadGenerator) await(b *testing.B) {
	b.Helper()
	var word string
	if _, err := fmt.Fscanln(loadGenerator.output, &word); err != nil || word != "ready" {
		rest, _ := io.ReadAll(loadGenerator.output)
		b.Fatalf("the load failed: %v %s%s%s", err, word, rest, &loadGenerator.errors)
	}
}

func (loadGenerator *loadGenerator) proceed(b *testing.B) {
	b.Helper()
	if _, err := fmt.Fprintln(loadGenerator.input, "go"); err != nil {
		b.Fatal(err)
	}
}

func (loadGenerator *loadGenerator) end(b *testing.B) {
	b.Helper()
	rest, _ := io.ReadAll(loadGenerator.output)
	if err := loadGenerator.command.Wait(); err != nil {
		b.Fatalf("the load failed: %v %s%s", err, rest, &loadGenerator.errors)
	}
}

// processorTime returns the user and system time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		b.Fatal(err)
	}
	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}
