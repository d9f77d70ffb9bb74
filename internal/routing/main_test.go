package routing

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of rapid, so that every run has the same result. Flags on
// the command line take precedence.
func TestMain(m *testing.M) {
	flag.Parse()
	fixed := map[string]string{"rapid.seed": "20260101", "rapid.nofailfile": "true", "rapid.checks": "300", "rapid.steps": "150"}
	flag.Visit(func(f *flag.Flag) { delete(fixed, f.Name) })
	for name, value := range fixed {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
