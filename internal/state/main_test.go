package state

import (
	"flag"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
)

// TestMain fixes rapid's seed, so that a verdict does not change between runs.
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

// quiet observes nothing.
type quiet struct{}

func (quiet) Reset()               {}
func (quiet) WorkerChanged(string) {}
func (quiet) JobChanged(string)    {}
func (quiet) InstancesChanged()    {}

func protoValue(m proto.Message) protoreflect.Value {
	return protoreflect.ValueOfMessage(m.ProtoReflect())
}

// tester is a test, a benchmark or rapid's test.
type tester interface {
	assert.TestingT
	Helper()
}
