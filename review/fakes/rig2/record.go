package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// started is when the rig started, the zero of the times in the record.
var started = time.Now()

// record is the file of what was sent, answered and run.
type record struct {
	mu   sync.Mutex
	file *os.File
}

func openRecord(path string) (*record, error) {
	f, err := os.Create(path)
	return &record{file: f}, err
}

func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.file, "%8.3f s  %s\n", time.Since(started).Seconds(), fmt.Sprintf(format, args...))
}
