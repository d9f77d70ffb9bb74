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

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
)

// peerState is what another process answers about a group.
type peerState int

const (
	unknown peerState = iota
	known
	unreachable
)

type fakePeer struct{ state peerState }

func (f *fakePeer) Describe(context.Context, *peerv1.DescribeRequest) (*peerv1.DescribeReply, error) {
	if f.state == unreachable {
		return nil, twirp.NewError(twirp.Unavailable, "cut off")
	}
	return &peerv1.DescribeReply{Known: f.state == known}, nil
}

func (f *fakePeer) Join(context.Context, *peerv1.JoinRequest) (*peerv1.JoinReply, error) {
	return &peerv1.JoinReply{}, nil
}

func (f *fakePeer) Recover(context.Context, *apiv1.RecoverGroupRequest) (*apiv1.RecoverGroupResponse, error) {
	return &apiv1.RecoverGroupResponse{}, nil
}

func newHost(t *testing.T, c Config, peers ...peerState) *Host {
	c.Name, c.Client, c.Clock, c.Logger = "a", http.DefaultClient, port.NewSystemClock(), slog.New(slog.DiscardHandler)
	c.Addresses = map[string]string{"a": "127.0.0.1:1"}
	for i, state := range peers {
		server := httptest.NewServer(peerv1.NewGroupServiceServer(&fakePeer{state}))
		t.Cleanup(server.Close)
		c.Addresses[string(rune('b'+i))] = strings.TrimPrefix(server.URL, "http://")
	}
	return New(c)
}

// TestMayFound guards against a second founding of a group: by a process whose
// data folder was emptied, by one that cannot ask all others, and by one that is
// told to join.
func TestMayFound(t *testing.T) {
	tests := []struct {
		name   string
		config Config
		listed []string
		peers  []peerState
		want   bool
		// waits is set if the process keeps asking.
		waits bool
	}{
		{"first start", Config{}, []string{"a", "b", "c"}, []peerState{unknown, unknown}, true, false},
		{"only process", Config{}, []string{"a"}, nil, true, false},
		{"emptied folder", Config{}, []string{"a", "b", "c"}, []peerState{unknown, known}, false, false},
		{"emptied folder behind a partition", Config{}, []string{"a", "b", "c"}, []peerState{unknown, unreachable}, false, true},
		{"not the first listed", Config{}, []string{"b", "a", "c"}, []peerState{unknown, unknown}, false, false},
		{"told to join", Config{JoinOnly: true}, []string{"a", "b", "c"}, []peerState{unknown, unknown}, false, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			h := newHost(t, test.config, test.peers...)
			ctx, cancel := context.WithTimeout(context.Background(), 3*askInterval)
			defer cancel()
			got, err := h.mayFound(ctx, "g", test.listed)
			assert.Equal(t, err != nil, test.waits)
			assert.Equal(t, got, test.want)
		})
	}
}

// TestCorruptFolderIsKeptAside guards against a replica that votes on with a
// corrupt log, and against the loss of the folder for the operator.
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

	damage(t, filepath.Join(h.c.Folder, "g", "wal"))
	_, opened, err = h.open("g")
	assert.NilError(t, err)
	assert.Equal(t, opened, "", "a corrupt replica was opened")
	aside, err := filepath.Glob(filepath.Join(h.c.Folder, "g.corrupt-*"))
	assert.NilError(t, err)
	assert.Equal(t, len(aside), 1)
	_, created, err := h.create("g", false)
	assert.NilError(t, err)
	assert.Assert(t, created != id)
}

// damage flips a bit in the middle of a file.
func damage(t *testing.T, path string) {
	b, err := os.ReadFile(path)
	assert.NilError(t, err)
	b[len(b)/2] ^= 1
	assert.NilError(t, os.WriteFile(path, b, 0o600))
}
