package logging

import (
	"bytes"
	"fmt"
	"log/slog"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
)

// Guards against rare lines that are dropped because frequent ones have used up the
// rate limit.
func TestBulkLinesDoNotCrowdOutRareLines(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit, seconds, bulkMessages = 1000, 3, 15
		var out bytes.Buffer
		b := NewBoundedWriter(&out, limit)
		log := NewBounded(b, "p", "d", slog.LevelInfo)
		for range seconds {
			for i := range 3 * limit {
				log.Info(fmt.Sprintf("bulk %d", i%bulkMessages))
			}
			log.With("group", "g").WithGroup("x").Info("role changed", "role", "leader")
			log.Info("membership changed")
			time.Sleep(time.Second)
		}
		assert.NilError(t, b.Close())
		text := out.String()
		assert.Equal(t, strings.Count(text, `"role changed"`), seconds)
		assert.Equal(t, strings.Count(text, `"membership changed"`), seconds)
		bulk := strings.Count(text, `"bulk `)
		assert.Assert(t, bulk >= seconds*limit/2 && bulk <= seconds*(limit-2), "%d lines", bulk)
		dropped := 3*limit - bulk/seconds
		assert.Equal(t, strings.Count(text, fmt.Sprintf(`"lines":%d}`, dropped)), seconds-1)
	})
}

// Guards against messages that together exceed the rate limit, each within its share.
func TestMessagesTogetherKeepRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 100
		var out bytes.Buffer
		b := NewBoundedWriter(&out, limit)
		log := NewBounded(b, "p", "d", slog.LevelInfo)
		for i := range 10 * limit {
			log.Info(fmt.Sprintf("message %d", i))
		}
		assert.NilError(t, b.Close())
		assert.Equal(t, strings.Count(out.String(), "message "), limit)
	})
}

// countedValue counts how often it is formatted.
type countedValue struct{ formatted *int }

func (c countedValue) LogValue() slog.Value {
	*c.formatted++
	return slog.StringValue("x")
}

// Guards against dropped lines that take the processor time of formatting.
func TestDroppedLinesAreNotFormatted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const limit = 100
		b := NewBoundedWriter(&bytes.Buffer{}, limit)
		log := NewBounded(b, "p", "d", slog.LevelInfo)
		formatted := 0
		for range 10 * limit {
			log.Info("bulk", "value", countedValue{&formatted})
		}
		assert.NilError(t, b.Close())
		assert.Assert(t, formatted > 0 && formatted <= limit, "%d lines", formatted)
	})
}

// Guards against a line that Drops reports as dropped although it is within the limit or is the
// first of a second, and against dropped lines that are not counted.
func TestDropsAgreesWithLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		var out bytes.Buffer
		b := NewBoundedWriter(&out, 40)
		log := NewBounded(b, "p", "d", slog.LevelInfo)
		written := 0
		for range 100 {
			if !Drops(log, "frequent") {
				log.Info("frequent")
				written++
			}
		}
		assert.Assert(t, !Drops(log, "rare"))
		log.Info("rare")
		time.Sleep(time.Second)
		assert.Assert(t, !Drops(log, "frequent"))
		log.Info("frequent")
		assert.NilError(t, b.Close())
		assert.Equal(t, strings.Count(out.String(), "\"frequent\""), written+1)
		assert.Assert(t, strings.Contains(out.String(), fmt.Sprintf("\"lines\":%d}", 100-written)), out.String())
		assert.Assert(t, written > 0 && written < 40 && strings.Contains(out.String(), "\"rare\""))
		assert.Assert(t, !Drops(slog.New(slog.DiscardHandler), "frequent"))
	})
}
