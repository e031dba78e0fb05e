package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record writes what was sent, answered and run, with the time since the start of the
// case. It also counts the violations. It is safe for concurrent use.
type record struct {
	mu         sync.Mutex
	file       *os.File
	started    time.Time
	violations int
}

func newRecord(file string) (*record, error) {
	f, err := os.Create(file)
	if err != nil {
		return nil, err
	}
	return &record{file: f, started: time.Now()}, nil
}

func (r *record) close() { _ = r.file.Close() }

// add writes a line.
func (r *record) add(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	line := fmt.Sprintf("%8.3f s  %s\n", time.Since(r.started).Seconds(), fmt.Sprintf(format, args...))
	fmt.Print(line)
	_, _ = r.file.WriteString(line)
}

// violation writes a line about a broken rule, and counts it.
func (r *record) violation(format string, args ...any) {
	r.mu.Lock()
	r.violations++
	r.mu.Unlock()
	r.add("BROKEN "+format, args...)
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.violations
}
