package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the log of a case. It holds what clients, workers and the platform see, and the broken rules.
type record struct {
	mu       sync.Mutex
	file     *os.File
	began    time.Time
	breaches int
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{file: file, began: time.Now()}, nil
}

// line writes one line with the time since the start in seconds.
func (r *record) line(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.file == nil {
		return
	}
	_, _ = fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.began).Seconds(), fmt.Sprintf(format, args...))
}

// breach records that a rule was broken.
func (r *record) breach(rule, format string, args ...any) {
	r.mu.Lock()
	r.breaches++
	first := r.breaches <= 5
	r.mu.Unlock()
	text := fmt.Sprintf("BROKEN %s: %s", rule, fmt.Sprintf(format, args...))
	r.line("%s", text)
	if first {
		fmt.Println(text)
	}
}

func (r *record) broken() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.breaches
}

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.file.Close()
	r.file = nil
}
