package fleet

import (
	"flag"
	"os"
	"testing"
)

// TestMain sets rapid's seed, unless a flag sets it, so that results are the same in
// each run.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20261204", "rapid.checks": "1000", "rapid.steps": "100"}
	for name, value := range fixed {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = f.Value.Set(value)
		}
	}
	os.Exit(m.Run())
}
