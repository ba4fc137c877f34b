package journaler_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stoathitch/stoathitch/pkg/journaler"
)

const restartEntries = 100_000

// benchmarkData is about the size of a small change of configuration.
const benchmarkData = "0123456789012345678901234567890123456789012345678901234567890123"

// BenchmarkRestart opens a log of 100,000 small entries. The name of each case is the number of
// entries per frame.
func BenchmarkRestart(b *testing.B) {
	for _, perFrame := range []int{1, 50} {
		b.Run(fmt.Sprintf("entries-per-frame-%d", perFrame), func(b *testing.B) {
			folder := b.TempDir()
			writeEntries(b, folder, perFrame)
			for b.Loop() {
				journal := &journaler.Journal{Folder: folder}
				recovered, err := journal.Open()
				if err != nil || len(recovered.Entries) != restartEntries {
					b.Fatalf("%d entries, %v", len(recovered.Entries), err)
				}
				_ = journal.Close()
			}
		})
	}
}

// unsyncedDisk skips syncs, to prepare a folder quickly.
type unsyncedDisk struct{ journaler.Disk }

type unsyncedFile struct{ journaler.File }

func (disk unsyncedDisk) Create(path string) (journaler.File, error) {
	file, err := disk.Disk.Create(path)
	return unsyncedFile{file}, err
}

func (unsyncedFile) Sync() error { return nil }

func writeEntries(b *testing.B, folder string, perFrame int) {
	b.Helper()
	journal := &journaler.Journal{Folder: folder, FileSystem: unsyncedDisk{}}
	if _, err := journal.Open(); err != nil {
		b.Fatal(err)
	}
	for index := 1; index <= restartEntries; {
		var batch journaler.Batch
		for range perFrame {
			batch.Entries = append(batch.Entries, entry(index, 1, benchmarkData))
			index++
		}
		if err := journal.Append(batch); err != nil {
			b.Fatal(err)
		}
	}
	_ = journal.Close()
}

// BenchmarkAppend measures appends of one entry per sync, which is the cost of the host's sync.
func BenchmarkAppend(b *testing.B) {
	journal := &journaler.Journal{Folder: b.TempDir()}
	if _, err := journal.Open(); err != nil {
		b.Fatal(err)
	}
	index := 0
	for b.Loop() {
		index++
		if err := journal.Append(journaler.Batch{Entries: []journaler.Entry{entry(index, 1, benchmarkData)}}); err != nil {
			b.Fatal(err)
		}
	}
}

// BenchmarkWriter measures batches of one entry through a Writer, on the host's disk and on one
// whose sync takes 4 ms longer. The name of each case is the number of batches in flight.
func BenchmarkWriter(b *testing.B) {
	for _, underWay := range []int{1, 20, 200} {
		b.Run(fmt.Sprintf("under-way-%d", underWay), func(b *testing.B) { benchmarkWriter(b, underWay, journaler.Disk{}) })
		b.Run(fmt.Sprintf("slow-sync-under-way-%d", underWay), func(b *testing.B) { benchmarkWriter(b, underWay, slowDisk{}) })
	}
}

// slowDisk adds to each sync the latency of a disk without a write cache.
type slowDisk struct{ journaler.Disk }

type slowFile struct{ journaler.File }

func (disk slowDisk) Create(path string) (journaler.File, error) {
	file, err := disk.Disk.Create(path)
	return slowFile{file}, err
}

func (file slowFile) Sync() error {
	time.Sleep(4 * time.Millisecond)
	return file.File.Sync()
}

func benchmarkWriter(b *testing.B, underWay int, disk journaler.FileSystem) {
	journal := &journaler.Journal{Folder: b.TempDir(), FileSystem: disk}
	if _, err := journal.Open(); err != nil {
		b.Fatal(err)
	}
	free := make(chan struct{}, underWay)
	groups := 0
	writer := &journaler.Writer{Journal: journal, Done: func(durable journaler.Durable) {
		groups++
		for _, result := range durable.Results {
			if result.Err != nil {
				b.Error(result.Err)
			}
			<-free
		}
	}}
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan struct{})
	go func() { writer.Run(ctx); close(ended) }()
	b.ResetTimer()
	for index := 1; index <= b.N; index++ {
		free <- struct{}{}
		batch := journaler.Batch{Entries: []journaler.Entry{entry(index, 1, benchmarkData)}}
		if err := writer.Submit(journaler.BatchID(index), batch); err != nil {
			b.Fatal(err)
		}
	}
	cancel()
	<-ended
	b.ReportMetric(float64(b.N)/b.Elapsed().Seconds(), "appends/s")
	b.ReportMetric(float64(b.N)/float64(groups), "appends/sync")
}
