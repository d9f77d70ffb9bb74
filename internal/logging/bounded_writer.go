package logging

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// queuedLines is how many lines may wait for a slow output.
	queuedLines = 4096
	// flushInterval is how long a line may wait to be written with others.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter writes lines without ever blocking its callers and writes at most a
// number of lines a second. What it drops is counted, and the count is written
// as a line of its own.
type BoundedWriter struct {
	out    io.Writer
	limit  int
	lines  chan []byte
	closed chan struct{}
	done   chan struct{}
	once   sync.Once

	mu      sync.Mutex
	second  time.Time
	written int
	dropped int
}

// NewBoundedWriter returns a writer that passes on at most limit lines a second.
func NewBoundedWriter(out io.Writer, limit int) *BoundedWriter {
	b := &BoundedWriter{out: out, limit: limit, lines: make(chan []byte, queuedLines), closed: make(chan struct{}), done: make(chan struct{})}
	go b.run()
	return b
}

// Write implements io.Writer. Each call holds whole lines. It never fails: a
// process does not stop because its log cannot be written.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	allowed, dropped := b.admit(time.Now())
	if dropped > 0 {
		b.offer(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"step\":\"log\",\"lines\":%d}\n", dropped))
	}
	if allowed {
		b.offer(append([]byte(nil), line...))
	}
	return len(line), nil
}

// admit counts a line. It returns whether the line is within the limit and, when
// a new second begins, how many lines were dropped before.
func (b *BoundedWriter) admit(now time.Time) (allowed bool, dropped int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if since := now.Sub(b.second); since < 0 || since >= time.Second {
		dropped = b.dropped
		b.second, b.written, b.dropped = now, 0, 0
	}
	b.written++
	if b.written > b.limit {
		b.dropped++
		return false, dropped
	}
	return true, dropped
}

// offer queues a line, or counts it as dropped if the queue is full.
func (b *BoundedWriter) offer(line []byte) {
	select {
	case b.lines <- line:
	default:
		b.mu.Lock()
		b.dropped++
		b.mu.Unlock()
	}
}

// run writes what is queued, many lines with one call.
func (b *BoundedWriter) run() {
	defer close(b.done)
	w := bufio.NewWriterSize(b.out, 64<<10)
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // a log that cannot be written is lost
			b.more(w)
		case <-b.closed:
			b.drain(w)
			return
		}
	}
}

// more gathers lines for a moment and writes them.
func (b *BoundedWriter) more(w *bufio.Writer) {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // as above
		case <-timer.C:
			_ = w.Flush()
			return
		case <-b.closed:
			return // run writes the rest
		}
	}
}

func (b *BoundedWriter) drain(w *bufio.Writer) {
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // as above
		default:
			_ = w.Flush()
			return
		}
	}
}

// Close writes what is queued.
func (b *BoundedWriter) Close() error {
	b.once.Do(func() { close(b.closed) })
	<-b.done
	return nil
}
