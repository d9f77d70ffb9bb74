package quota

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes rapid's seed, so that the result does not change between runs.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "100", "rapid.steps": "100"}
	for name, value := range fixed {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
