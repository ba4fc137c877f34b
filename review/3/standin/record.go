package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes events with their time since the start to a file. It is safe for concurrent use.
type record struct {
	mutex     sync.Mutex
	file      *os.File
	startedAt time.Time
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, startedAt: time.Now()}, nil
}

// add writes one event. A record that can't be written doesn't change the verdict.
func (record *record) add(format string, arguments ...any) {
	record.mutex.Lock()
	defer record.mutex.Unlock()
	line := fmt.Sprintf(format, arguments...)
	_, _ = fmt.Fprintf(record.file, "%8.3f s  %s\n", time.Since(record.startedAt).Seconds(), line)
}
