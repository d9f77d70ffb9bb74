package logging

import (
	"bytes"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// blockedOutput is an output whose writes block until release is closed.
type blockedOutput struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blockedOutput) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a log that grows without bound under load, and against lines
// that are dropped without a record of their number.
func TestBoundedWriterLimitsRateAndCountsDroppedLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBoundedWriter(&out, 10)
		for i := range 100 {
			_, err := fmt.Fprintf(b, "line %d\n", i)
			assert.NilError(t, err)
		}
		time.Sleep(time.Second)
		fmt.Fprintln(b, "next second")
		assert.NilError(t, b.Close())
		assert.Equal(t, strings.Count(out.String(), "line "), 10)
		assert.Assert(t, strings.Contains(out.String(), `"lines":90}`), out.String())
		assert.Assert(t, strings.HasSuffix(out.String(), "next second\n"))
	})
}

// Guards against a caller that is blocked by a slow log output.
func TestBoundedWriterNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blockedOutput{release: make(chan struct{})}
		b := NewBoundedWriter(out, 1_000_000)
		began := time.Now()
		for i := range 3 * maxQueuedLines {
			fmt.Fprintf(b, "line %d\n", i)
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		close(out.release)
		assert.NilError(t, b.Close())
		lines := strings.Count(out.text.String(), "line ")
		assert.Assert(t, lines >= maxQueuedLines && lines < 3*maxQueuedLines, "%d lines", lines)
	})
}

// writeRecorder is an output that records each write.
type writeRecorder struct{ writes []string }

func (r *writeRecorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, string(p))
	return len(p), nil
}

// Guards against lines that are cut because the reader of the output takes a write only
// in part.
func TestWritesHoldWholeLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out writeRecorder
		b := NewBoundedWriter(&out, 1_000_000)
		const lines = 1000
		for i := range lines {
			fmt.Fprintf(b, "%s\n", strings.Repeat("x", 200+i%100))
		}
		fmt.Fprintf(b, "%s\n", strings.Repeat("x", 2*maxWriteBytes))
		assert.NilError(t, b.Close())
		assert.Equal(t, strings.Count(strings.Join(out.writes, ""), "\n"), lines+1)
		for _, text := range out.writes {
			assert.Assert(t, strings.HasSuffix(text, "\n"), "a write ends within a line")
			assert.Assert(t, len(text) <= maxWriteBytes || strings.Count(text, "\n") == 1, "%d bytes in a write", len(text))
		}
	})
}
