package logging

import (
	"bufio"
	"fmt"
	"io"
	"sync"
	"time"
)

const (
	// maxQueuedLines is how many lines may wait to be written; further lines are
	// dropped.
	maxQueuedLines = 4096
	// flushInterval is how long lines are collected before they are written in
	// one batch.
	flushInterval = 50 * time.Millisecond
)

// BoundedWriter writes log lines in the background, so that a slow output never
// blocks the caller. It drops lines beyond a rate limit and lines that do not
// fit into the queue, and writes the number of dropped lines as a line of its own
// in a later second.
type BoundedWriter struct {
	out       io.Writer
	limit     int // lines per second
	lines     chan []byte
	closed    chan struct{} // closed by Close
	done      chan struct{} // closed when run has written the queued lines
	closeOnce sync.Once

	mu      sync.Mutex
	second  time.Time // when the current second of the rate limit began
	written int       // lines offered in this second, dropped ones included
	dropped int       // lines dropped since the count was last written
}

// NewBoundedWriter returns a writer that writes at most limit lines per second to
// out. Its goroutine runs until Close.
func NewBoundedWriter(out io.Writer, limit int) *BoundedWriter {
	b := &BoundedWriter{
		out:    out,
		limit:  limit,
		lines:  make(chan []byte, maxQueuedLines),
		closed: make(chan struct{}),
		done:   make(chan struct{}),
	}
	go b.run()
	return b
}

// Write implements io.Writer. Each call must pass whole lines and counts as one
// line. It never returns an error, so that a process whose log cannot be written
// keeps running.
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

// admit counts a line. It returns whether the line is within the rate limit and,
// if a new second begins with it, how many lines were dropped before.
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

// run writes the queued lines in batches until Close is called.
func (b *BoundedWriter) run() {
	defer close(b.done)
	w := bufio.NewWriterSize(b.out, 64<<10)
	for {
		select {
		case line := <-b.lines:
			_, _ = w.Write(line) // lines that cannot be written are lost
			b.writeBatch(w)
		case <-b.closed:
			b.writeQueued(w)
			return
		}
	}
}

// writeBatch collects lines for flushInterval and then writes them.
func (b *BoundedWriter) writeBatch(w *bufio.Writer) {
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
			return // run writes the remaining lines
		}
	}
}

// writeQueued writes the lines that are in the queue.
func (b *BoundedWriter) writeQueued(w *bufio.Writer) {
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

// Close writes the queued lines and stops the goroutine. It may be called more
// than once. Lines written after Close are lost.
func (b *BoundedWriter) Close() error {
	b.closeOnce.Do(func() { close(b.closed) })
	<-b.done
	return nil
}
