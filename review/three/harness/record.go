package harness

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// Record is the file to which a case writes what was sent, answered and run. It is safe for concurrent use.
type Record struct {
	mu    sync.Mutex
	file  *os.File
	out   *bufio.Writer
	start time.Time
}

// NewRecord creates the file. Times in it count from now.
func NewRecord(path string) (*Record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &Record{file: file, out: bufio.NewWriter(file), start: time.Now()}, nil
}

// Since returns the time of the record at a moment.
func (r *Record) Since(at time.Time) time.Duration { return at.Sub(r.start) }

// At writes a line for an event at a time.
func (r *Record) At(at time.Time, format string, arguments ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%9.3f s  %s\n", at.Sub(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Note writes a line for an event now, and prints it.
func (r *Record) Note(format string, arguments ...any) {
	now := time.Now()
	r.At(now, format, arguments...)
	fmt.Printf("%9.3f s  %s\n", now.Sub(r.start).Seconds(), fmt.Sprintf(format, arguments...))
}

// Close writes the rest and closes the file.
func (r *Record) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.out.Flush()
	_ = r.file.Close()
}
