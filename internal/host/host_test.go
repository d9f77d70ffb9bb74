package host

import (
	"context"
	"log/slog"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

// peerAnswer selects how a fakePeer answers Describe.
type peerAnswer int

const (
	withoutState peerAnswer = iota
	withState
	unreachable
)

// fakePeer is the group service of another process.
type fakePeer struct{ answer peerAnswer }

func (f *fakePeer) Describe(context.Context, *peerv1.DescribeRequest) (*peerv1.DescribeReply, error) {
	if f.answer == unreachable {
		return nil, twirp.NewError(twirp.Unavailable, "cut off")
	}
	return &peerv1.DescribeReply{Known: f.answer == withState}, nil
}

func (f *fakePeer) Join(context.Context, *peerv1.JoinRequest) (*peerv1.JoinReply, error) {
	return &peerv1.JoinReply{}, nil
}

func (f *fakePeer) Recover(context.Context, *apiv1.RecoverGroupRequest) (*apiv1.RecoverGroupResponse, error) {
	return &apiv1.RecoverGroupResponse{}, nil
}

func newHost(t *testing.T, c Config, peers ...peerAnswer) *Host {
	c.Name, c.Client, c.Clock, c.Logger = "a", http.DefaultClient, port.NewSystemClock(), slog.New(slog.DiscardHandler)
	c.Addresses = map[string]string{"a": "127.0.0.1:1"}
	for i, answer := range peers {
		server := httptest.NewServer(peerv1.NewGroupServiceServer(&fakePeer{answer}))
		t.Cleanup(server.Close)
		c.Addresses[string(rune('b'+i))] = strings.TrimPrefix(server.URL, "http://")
	}
	return New(c)
}

// TestMayBootstrap guards against bootstrapping a group a second time: by a process
// whose data folder was emptied, by one that cannot reach all others, and by one that
// is configured to join only.
func TestMayBootstrap(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		listed []string
		peers  []peerAnswer
		want   bool
		// waits is set if the process keeps repeating the calls.
		waits bool
	}{
		{"first start", Config{}, []string{"a", "b", "c"}, []peerAnswer{withoutState, withoutState}, true, false},
		{"only process", Config{}, []string{"a"}, nil, true, false},
		{"emptied folder", Config{}, []string{"a", "b", "c"}, []peerAnswer{withoutState, withState}, false, false},
		{"emptied folder behind a partition", Config{}, []string{"a", "b", "c"}, []peerAnswer{withoutState, unreachable}, false, true},
		{"not the first listed", Config{}, []string{"b", "a", "c"}, []peerAnswer{withoutState, withoutState}, false, false},
		{"configured to join only", Config{JoinOnly: true}, []string{"a", "b", "c"}, []peerAnswer{withoutState, withoutState}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHost(t, test.config, test.peers...)
			ctx, cancel := context.WithTimeout(context.Background(), 3*describeInterval)
			defer cancel()
			got, err := h.mayBootstrap(ctx, "g", test.listed)
			assert.Equal(t, err != nil, test.waits)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestCorruptFolderIsKeptAside guards against a replica that continues to vote with a
// corrupt log, and against deleting the folder, which the operator may need.
func TestCorruptFolderIsKeptAside(t *testing.T) {
	h := newHost(t, Config{Folder: t.TempDir()})
	storage, id, err := h.create("g", false)
	assert.NilError(t, err)
	entry := &peerv1.RaftEntry{Index: 1, Term: 1, Data: make([]byte, 64)}
	assert.NilError(t, storage.Append(&peerv1.RaftHardState{Term: 1}, []*peerv1.RaftEntry{entry}))
	assert.NilError(t, storage.Append(&peerv1.RaftHardState{Term: 2}, nil))
	assert.NilError(t, storage.Close())
	_, opened, err := h.open("g")
	assert.NilError(t, err)
	assert.Equal(t, opened, id)

	flipBit(t, filepath.Join(h.cfg.Folder, "g", "wal"))
	_, opened, err = h.open("g")
	assert.NilError(t, err)
	assert.Equal(t, opened, "", "a corrupt replica was opened")
	aside, err := filepath.Glob(filepath.Join(h.cfg.Folder, "g.corrupt-*"))
	assert.NilError(t, err)
	assert.Equal(t, len(aside), 1)
	_, created, err := h.create("g", false)
	assert.NilError(t, err)
	assert.Assert(t, created != id)
}

// flipBit flips a bit in the middle of the file.
func flipBit(t *testing.T, path string) {
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	b[len(b)/2] ^= 1
	assert.NilError(t, os.WriteFile(path, b, 0o600))
}

// TestStateIsUnknownBeforeFolderIsOpened guards against a process that tells others that it
// holds no state of a group before it has looked into its data folder.
func TestStateIsUnknownBeforeFolderIsOpened(t *testing.T) {
	h := newHost(t, Config{Folder: t.TempDir()}, unreachable)
	r := h.AddReplica("g")
	assert.Assert(t, !r.StateKnown())
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error)
	go func() { ended <- h.Run(ctx, r, []string{"a", "b"}, nil) }()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if r.StateKnown() {
			return poll.Success()
		}
		return poll.Continue("the folder is not opened")
	})
	assert.Assert(t, !r.HasState())
	cancel()
	assert.NilError(t, <-ended)
}
