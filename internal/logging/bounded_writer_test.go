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

// blocked is an output that takes nothing until it is released.
type blocked struct {
	release chan struct{}
	mu      sync.Mutex
	text    bytes.Buffer
}

func (b *blocked) Write(p []byte) (int, error) {
	<-b.release
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.text.Write(p)
}

// Guards against a log that grows without bound under load, and against dropped
// lines that nobody hears of.
func TestBoundedRate(t *testing.T) {
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

// Guards against a process that waits for its log.
func TestBoundedNeverBlocks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &blocked{release: make(chan struct{})}
		b := NewBoundedWriter(out, 1_000_000)
		began := time.Now()
		for i := range 3 * queuedLines {
			fmt.Fprintf(b, "line %d\n", i)
		}
		assert.Equal(t, time.Since(began), time.Duration(0))
		close(out.release)
		assert.NilError(t, b.Close())
		lines := strings.Count(out.text.String(), "line ")
		assert.Assert(t, lines >= queuedLines && lines < 3*queuedLines, "%d lines", lines)
	})
}
