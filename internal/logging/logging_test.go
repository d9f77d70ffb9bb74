package logging

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

// Guards against records that lack the fields by which operators search them.
func TestRecordFields(t *testing.T) {
	var out bytes.Buffer
	log := New(&out, "entry-1", "Patan", slog.LevelInfo)
	log.Info("call forwarded", Step("forward"), Peer("entry-2"), Request("r"), Task("j", 3), Team("red"), Error(errors.New("lost")))
	log.Debug("hidden")
	var record map[string]any
	assert.NilError(t, json.Unmarshal(out.Bytes(), &record))
	delete(record, "time")
	assert.DeepEqual(t, record, map[string]any{
		"level": "INFO", "msg": "call forwarded", "process": "entry-1", "data_centre": "Patan", "step": "forward",
		"peer": "entry-2", "request": "r", "job": "j", "task": 3.0, "team": "red", "error": "lost",
	})
}

// Guards against a key that appears in a log or a message, however it is printed
// or encoded.
func TestSecretIsNeverPrinted(t *testing.T) {
	const key = "hunter2-hunter2"
	secret := NewSecret(key)
	holder := struct {
		Name   string
		hidden Secret
		Shown  *Secret
	}{"x", secret, &secret}
	var out bytes.Buffer
	log := New(&out, "p", "d", slog.LevelInfo)
	log.Info("x", "s", secret, "pointer", &secret, "holder", holder, slog.Group("g", "authorization", "Bearer "+key), "Team_Key", key)
	for _, verb := range []string{"%v", "%+v", "%#v", "%s", "%q", "%x", "%d"} {
		fmt.Fprintf(&out, verb, secret)
		fmt.Fprintf(&out, verb, &secret)
		fmt.Fprintf(&out, verb, holder)
		fmt.Fprintf(&out, verb, []any{secret, map[string]Secret{"a": secret}})
	}
	encoded, err := json.Marshal([]any{secret, holder})
	assert.NilError(t, err)
	out.Write(encoded)
	assert.Assert(t, !strings.Contains(out.String(), "hunter2"), out.String())
	assert.Assert(t, !strings.Contains(out.String(), fmt.Sprintf("%x", "hunter2")), out.String())
	assert.Equal(t, secret.Reveal(), key)
	assert.Assert(t, secret.Equal(NewSecret(key)) && !secret.Equal(Secret{}) && (Secret{}).IsZero())
}
