package state

import (
	"flag"
	"os"
	"testing"

	"google.golang.org/protobuf/proto"
	"google.golang.org/protobuf/reflect/protoreflect"
	"gotest.tools/v3/assert"
)

// TestMain sets defaults for rapid's seed, number of checks and number of steps, so
// that every run tests the same histories. Flags on the command line override them.
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

// noopObserver ignores all notifications.
type noopObserver struct{}

func (noopObserver) Reset()               {}
func (noopObserver) WorkerChanged(string) {}
func (noopObserver) JobChanged(string)    {}
func (noopObserver) InstancesChanged()    {}

func protoValue(m proto.Message) protoreflect.Value {
	return protoreflect.ValueOfMessage(m.ProtoReflect())
}

// tester is implemented by *testing.T, *testing.B and *rapid.T.
type tester interface {
	assert.TestingT
	Helper()
}
