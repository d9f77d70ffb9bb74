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
	// maxWriteBytes bounds one write to the output, unless a single line is longer. A
	// write to a pipe is atomic up to PIPE_BUF, 4096 bytes.
	maxWriteBytes = 4096
	// The first lines of each message in a second are taken from a reserve of
	// 1/reserveDivisor of the rate limit, which suffices for reservedMessages
	// messages.
	reserveDivisor   = 4
	reservedMessages = 25
)

// BoundedWriter writes log lines in the background, so that a slow output never
// blocks the caller. It drops lines beyond a rate limit and lines that do not
// fit into the queue, and writes the number of dropped lines as a line of its own
// in a later second. The lines of a logger of NewBounded are dropped by message.
type BoundedWriter struct {
	out       io.Writer
	limit     int // lines per second
	lines     chan []byte
	closed    chan struct{} // closed by Close
	done      chan struct{} // closed when run has written the queued lines
	closeOnce sync.Once

	mu        sync.Mutex
	second    time.Time      // when the current second of the rate limit began
	admitted  int            // lines admitted in this second
	byMessage map[string]int // lines of NewBounded admitted in this second, by message
	beyond    int            // those of them that were not taken from the reserve
	dropped   int            // lines dropped since the count was last written
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

		byMessage: map[string]int{},
	}
	go b.run()
	return b
}

// Write implements io.Writer. Each call must pass whole lines and counts as one
// line. It never returns an error, so that a process whose log cannot be written
// keeps running.
func (b *BoundedWriter) Write(line []byte) (int, error) {
	if b.admit() {
		b.offer(append([]byte(nil), line...))
	}
	return len(line), nil
}

// admit counts a line and reports whether it is within the rate limit.
func (b *BoundedWriter) admit() bool {
	return b.count(func() bool { return b.admitted < b.limit })
}

// admitMessage counts a line of a message and reports whether it is within the rate
// limit. Apart from the first lines of each message, the lines may not use the
// reserve, so that a frequent message does not displace a rare one.
func (b *BoundedWriter) admitMessage(message string) bool {
	return b.count(func() bool {
		allowed, reserved := b.allows(message)
		if !allowed {
			return false
		}
		if !reserved {
			b.beyond++
		}
		b.byMessage[message]++
		return true
	})
}

// allows reports whether a line of a message is within the rate limit, and whether it is taken
// from the reserve. The caller holds the mutex.
func (b *BoundedWriter) allows(message string) (allowed, reserved bool) {
	if b.admitted >= b.limit {
		return false, false
	}
	reserve := b.limit / reserveDivisor
	if b.byMessage[message] < max(1, reserve/reservedMessages) {
		return true, true
	}
	return b.beyond < b.limit-reserve, false
}

// drops reports whether a line of a message is beyond the rate limit, and if so counts it as
// dropped. Other lines are counted by admitMessage.
func (b *BoundedWriter) drops(message string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if since := time.Since(b.second); since < 0 || since >= time.Second {
		return false // a new second begins with the line
	}
	if allowed, _ := b.allows(message); allowed {
		return false
	}
	b.dropped++
	return true
}

// count counts a line as admitted or dropped, as decided by the function, which is
// called with the mutex held. If a new second begins with the line, it also writes
// how many lines were dropped before.
func (b *BoundedWriter) count(admits func() bool) bool {
	b.mu.Lock()
	dropped := b.startSecond(time.Now())
	allowed := admits()
	if allowed {
		b.admitted++
	} else {
		b.dropped++
	}
	b.mu.Unlock()
	if dropped > 0 {
		b.offer(fmt.Appendf(nil, "{\"level\":\"WARN\",\"msg\":\"log lines dropped\",\"step\":\"log\",\"lines\":%d}\n", dropped))
	}
	return allowed
}

// startSecond resets the counts if the current second is over, and returns how many
// lines were dropped since the last reset, 0 if it is not over. The caller holds the
// mutex.
func (b *BoundedWriter) startSecond(now time.Time) (dropped int) {
	if since := now.Sub(b.second); since >= 0 && since < time.Second {
		return 0
	}
	dropped = b.dropped
	b.second, b.admitted, b.beyond, b.dropped = now, 0, 0, 0
	clear(b.byMessage)
	return dropped
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
	w := bufio.NewWriterSize(b.out, maxWriteBytes)
	for {
		select {
		case line := <-b.lines:
			writeLine(w, line)
			b.writeBatch(w)
		case <-b.closed:
			b.writeQueued(w)
			return
		}
	}
}

// writeLine buffers a line, so that no write to the output holds a part of it. Lines that
// cannot be written are lost.
func writeLine(w *bufio.Writer, line []byte) {
	if w.Available() < len(line) {
		_ = w.Flush()
	}
	_, _ = w.Write(line)
}

// writeBatch collects lines for flushInterval and then writes them.
func (b *BoundedWriter) writeBatch(w *bufio.Writer) {
	timer := time.NewTimer(flushInterval)
	defer timer.Stop()
	for {
		select {
		case line := <-b.lines:
			writeLine(w, line)
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
			writeLine(w, line)
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
