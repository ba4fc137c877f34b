package journaler_test

import (
	"context"
	"encoding/json"
	"sync"
	"testing"

	"github.com/stoathitch/stoathitch/pkg/journaler"
	"github.com/stoathitch/stoathitch/pkg/journaler/fakedisk"
)

// countingDisk wraps another disk and counts its syncs. The sync of the first append blocks until
// release is closed.
type countingDisk struct {
	journaler.FileSystem
	syncs   int
	entered chan struct{}
	release chan struct{}
}

type countingFile struct {
	journaler.File
	disk *countingDisk
}

func (disk *countingDisk) Create(path string) (journaler.File, error) {
	file, err := disk.FileSystem.Create(path)
	return countingFile{File: file, disk: disk}, err
}

func (file countingFile) Sync() error {
	file.disk.syncs++
	if file.disk.syncs == 2 { // the first is the sync of the segment's start
		close(file.disk.entered)
		<-file.disk.release
	}
	return file.File.Sync()
}

// TestWriterSharesOneSync guards against claims that each wait for a sync of their own. Many
// batches arrive while the sync of the first one runs; the writer must form one group of them and
// report the results in order.
func TestWriterSharesOneSync(t *testing.T) {
	const batches = 200
	disk := &countingDisk{FileSystem: fakedisk.New(1), entered: make(chan struct{}), release: make(chan struct{})}
	journal := &journaler.Journal{Folder: folder, FileSystem: disk}
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	var results []journaler.Result
	var last journaler.Position
	writer := &journaler.Writer{Journal: journal, Done: func(durable journaler.Durable) {
		results = append(results, durable.Results...)
		last = durable.Last
	}}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { writer.Run(ctx) })
	for number := 1; number <= batches; number++ {
		batch := journaler.Batch{Entries: []journaler.Entry{entry(number, 1, "claim")}}
		if err := writer.Submit(journaler.BatchID(number), batch); err != nil {
			t.Fatal(err)
		}
		if number == 1 {
			<-disk.entered
		}
	}
	close(disk.release)
	cancel()
	running.Wait()
	for number, result := range results {
		if result.Err != nil || result.Ticket != journaler.BatchID(number+1) {
			t.Fatalf("result %d: %+v", number, result)
		}
	}
	if len(results) != batches || last.Index != batches || disk.syncs != 3 {
		t.Fatalf("%d results up to %d with %d syncs, want %d with 3", len(results), last.Index, disk.syncs, batches)
	}
	if kind, _ := journaler.KindOf(writer.Submit(1, journaler.Batch{})); kind != journaler.Stopped {
		t.Fatalf("a submit after the end gives %s", kind)
	}
}

// TestWriterRefusesBeyondItsQueue guards against a queue without a bound, which makes the daemon's
// memory grow while its disk hangs. More batches are submitted than the queue holds, and none is
// written.
func TestWriterRefusesBeyondItsQueue(t *testing.T) {
	writer := &journaler.Writer{QueueBytes: 100}
	batch := journaler.Batch{Entries: []journaler.Entry{entry(1, 1, "a claim")}}
	if err := writer.Submit(1, batch); err != nil {
		t.Fatal(err)
	}
	if kind, _ := journaler.KindOf(writer.Submit(2, batch)); kind != journaler.QueueFull {
		t.Fatalf("a submit beyond the queue gives %s", kind)
	}
}

// TestOnTheHostsDisk checks locking, restart and inspection on the host's file system.
func TestOnTheHostsDisk(t *testing.T) {
	journal := &journaler.Journal{Folder: t.TempDir(), SegmentBytes: 300}
	if _, err := journal.Open(); err != nil {
		t.Fatal(err)
	}
	second := &journaler.Journal{Folder: journal.Folder}
	if _, err := second.Open(); err == nil {
		t.Fatal("two journals share one folder")
	}
	oracle := model{}
	for number := 1; number <= 20; number++ {
		batch := journaler.Batch{Entries: []journaler.Entry{entry(number, 1, "configuration")}}
		if err := journal.Append(batch); err != nil {
			t.Fatal(err)
		}
		oracle = oracle.after(batch)
	}
	snapshot := journaler.Snapshot{Index: 18, Term: 1, Data: []byte("state")}
	if err := journal.SaveSnapshot(snapshot); err != nil {
		t.Fatal(err)
	}
	oracle = oracle.afterSnapshot(snapshot)
	if err := journal.Close(); err != nil {
		t.Fatal(err)
	}
	requireReport(t, journal.Folder)
	recovered, err := second.Open()
	if err != nil {
		t.Fatal(err)
	}
	if found := modelOf(recovered).text(); found != oracle.text() {
		t.Fatalf("recovered\n%swant\n%s", found, oracle.text())
	}
	loaded, err := second.LoadSnapshot()
	if err != nil || string(loaded.Data) != "state" {
		t.Fatalf("loaded %v, %v", loaded, err)
	}
}

func requireReport(t *testing.T, folder string) {
	t.Helper()
	report, err := journaler.Inspect(folder)
	if err != nil {
		t.Fatal(err)
	}
	text, err := json.Marshal(report)
	if err != nil {
		t.Fatal(err)
	}
	for _, part := range report.Segments {
		if part.Problem != "" || len(part.Frames) == 0 {
			t.Fatalf("a sound folder is reported as %s", text)
		}
	}
	if len(report.Segments) == 0 || len(report.Snapshots) != 1 || report.Snapshots[0].Position.Index != 18 {
		t.Fatalf("the report lacks a part: %s", text)
	}
}
