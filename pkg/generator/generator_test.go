package generator

import (
	"bytes"
	"flag"
	"math"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/identifier"
	"github.com/stoathitch/stoathitch/pkg/tracer"
)

var writeTraces = flag.Bool("write-traces", false, "overwrite the checked-in traces instead of comparing them")

const tracesDirectory = "../../testdata/traces"

// maxTraceBytes keeps the checked-in traces small enough for a repository.
const maxTraceBytes = 1 << 20

// The traces in testdata/traces must be equal to what the generator returns for their
// presets. They must parse, and keep their bytes when they are written again.
func TestKeptTraces(t *testing.T) {
	for _, preset := range Presets() {
		t.Run(preset.Name, func(t *testing.T) {
			content := encode(t, generate(t, preset.Parameters))
			if len(content) > maxTraceBytes {
				t.Errorf("the trace has %d bytes", len(content))
			}
			trace, err := tracer.Parse(bytes.NewReader(content))
			if err != nil {
				t.Fatal(err)
			}
			if !bytes.Equal(encode(t, trace), content) {
				t.Error("the trace changes when it is parsed and written again")
			}
			requireSameContent(t, filepath.Join(tracesDirectory, preset.Name+".trace"), content)
		})
	}
}

func requireSameContent(t *testing.T, path string, content []byte) {
	t.Helper()
	if *writeTraces {
		if err := os.WriteFile(path, content, 0o644); err != nil {
			t.Fatal(err)
		}
		return
	}
	kept, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if !bytes.Equal(kept, content) {
		t.Errorf("%s differs from the generated trace; run with -write-traces if that is intended", path)
	}
}

func generate(t *testing.T, parameters *Parameters) *tracer.Trace {
	t.Helper()
	trace, err := Generate(parameters)
	if err != nil {
		t.Fatal(err)
	}
	return trace
}

func encode(t *testing.T, trace *tracer.Trace) []byte {
	t.Helper()
	var buffer bytes.Buffer
	if err := tracer.Write(&buffer, trace); err != nil {
		t.Fatal(err)
	}
	return buffer.Bytes()
}

func jobsOf(trace *tracer.Trace) []*tracer.Job {
	var jobs []*tracer.Job
	for _, event := range trace.Events {
		if job, isJob := event.(*tracer.Job); isJob {
			jobs = append(jobs, job)
		}
	}
	return jobs
}

// A load that is off by some percent would make policies look better or worse than
// they are near saturation, where the difference matters most.
func TestLoadIsExact(t *testing.T) {
	for _, load := range []float64{0.5, 0.7, 0.8, 0.9, 0.95} {
		parameters := PhucTin(1)
		parameters.Load = load
		parameters.Length = 10 * time.Second
		work := time.Duration(0)
		for _, job := range jobsOf(generate(t, parameters)) {
			work += job.TotalRunTime()
		}
		slots := float64(parameters.Deployment.TotalSlots())
		measured := work.Seconds() / (parameters.Length.Seconds() * slots)
		t.Logf("load %.4f, wanted %.2f", measured, load)
		if math.Abs(measured-load) > 0.002 {
			t.Errorf("load %.4f, wanted %.2f", measured, load)
		}
	}
}

func TestEqualTasksGivesEachWidthTheSameNumberOfTasks(t *testing.T) {
	parameters := BSV(1)
	parameters.Length = 2 * time.Minute
	tasks := make(map[int]int)
	all := 0
	for _, job := range jobsOf(generate(t, parameters)) {
		tasks[len(job.Tasks)] += len(job.Tasks)
		all += len(job.Tasks)
	}
	for _, width := range []int{1, 10, 50, 110} {
		share := float64(tasks[width]) / float64(all)
		if math.Abs(share-0.25) > 0.03 {
			t.Errorf("width %d has %.3f of all tasks", width, share)
		}
	}
}

func TestBurstMultipliesTheArrivals(t *testing.T) {
	parameters := PhucTin(1)
	parameters.Length = 30 * time.Second
	parameters.Load = 0.1
	parameters.Bursts = []Burst{{From: seconds(10), To: seconds(20), Factor: 10}}
	within, outside := 0, 0
	for _, job := range jobsOf(generate(t, parameters)) {
		if job.At >= seconds(10) && job.At < seconds(20) {
			within++
		} else {
			outside++
		}
	}
	factor := float64(within) / (float64(outside) / 2)
	if factor < 8.5 || factor > 11.5 {
		t.Errorf("the burst has %.2f times the normal rate", factor)
	}
}

func TestHotEntryHostGetsItsShare(t *testing.T) {
	parameters := PhucTin(1)
	parameters.Length = 30 * time.Second
	parameters.HotShare = 0.5
	parameters.HotEntryHost = tracer.EntryHost(parameters.domain(0), 1)
	hot, jobs := 0, jobsOf(generate(t, parameters))
	for _, job := range jobs {
		if job.EntryHost == parameters.HotEntryHost {
			hot++
		}
	}
	if share := float64(hot) / float64(len(jobs)); math.Abs(share-0.5) > 0.03 {
		t.Errorf("the hot entry host has %.3f of the jobs", share)
	}
}

func TestResendsAndResubmissionsNameTheirJob(t *testing.T) {
	parameters := PhucTin(1)
	parameters.Resends = Repeats{Share: 0.2, After: time.Second}
	parameters.Resubmissions = Repeats{Share: 0.2, After: time.Second}
	sent := make(map[identifier.JobID]*tracer.Job)
	resends, resubmissions := 0, 0
	for _, job := range jobsOf(generate(t, parameters)) {
		first := sent[job.Job]
		switch {
		case first == nil:
			sent[job.Job] = job
		case first.Caller != job.Caller || len(first.Tasks) != len(job.Tasks):
			t.Fatalf("job %s changed when it was resent or resubmitted", job.Job)
		case first.Submission == job.Submission:
			resends++
		default:
			resubmissions++
		}
	}
	for _, count := range []int{resends, resubmissions} {
		if share := float64(count) / float64(len(sent)); math.Abs(share-0.2) > 0.05 {
			t.Errorf("%.3f of the jobs are resent or resubmitted", share)
		}
	}
}

func TestParametersThatCannotBeMet(t *testing.T) {
	changes := map[string]func(parameters *Parameters){
		"no load":          func(parameters *Parameters) { parameters.Load = 0 },
		"no width":         func(parameters *Parameters) { parameters.Widths = nil },
		"width of no task": func(parameters *Parameters) { parameters.Widths = []Width{{0, 1}} },
		"no team":          func(parameters *Parameters) { parameters.Teams = nil },
		"late burst":       func(parameters *Parameters) { parameters.Bursts = []Burst{{seconds(1), seconds(100), 10}} },
		"no run time":      func(parameters *Parameters) { parameters.RunTimes = RunTimes{} },
	}
	for name, change := range changes {
		parameters := PhucTin(1)
		change(parameters)
		if _, err := Generate(parameters); err == nil {
			t.Errorf("%s: no error", name)
		}
	}
}
