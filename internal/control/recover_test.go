package control

import (
	"context"
	"log/slog"
	"testing"

	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"
	"gotest.tools/v3/assert"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/port"
	"laburnumgrade/internal/raft"
)

// recoveringReplica is a replica whose recovery ends with an error.
type recoveringReplica struct {
	Replica
	err error
}

func (r *recoveringReplica) ID() string                    { return "a.1" }
func (r *recoveringReplica) HasState() bool                { return true }
func (r *recoveringReplica) Recover(context.Context) error { return r.err }

// Guards against "aborted", which entries answer as "not run", for a recovery that may have
// begun: the replica stopped, or the time ended, before it led the new generation.
func TestRecoveryThatMayHaveBegunIsNotAborted(t *testing.T) {
	for _, test := range []struct {
		err  error
		code twirp.ErrorCode
	}{
		{raft.ErrLeading, twirp.Aborted},
		{&port.NotLeaderError{Group: "x"}, twirp.Aborted},
		{errors.New("the replica is stopped"), twirp.Internal},
		{context.DeadlineExceeded, twirp.Internal},
	} {
		s := &Server{logger: slog.New(slog.DiscardHandler), hostedGroups: map[string]*HostedGroup{"x": {Group: "x", Replica: &recoveringReplica{err: test.err}}}}
		_, err := (&GroupServer{s}).Recover(context.Background(), &apiv1.RecoverGroupRequest{Group: "x"})
		var answer twirp.Error
		assert.Assert(t, errors.As(err, &answer), "%v", err)
		assert.Equal(t, answer.Code(), test.code, "%v", test.err)
	}
}

// openingReplica is a replica whose data folder is being opened.
type openingReplica struct{ Replica }

func (openingReplica) HasState() bool               { return false }
func (openingReplica) StateKnown() bool             { return false }
func (openingReplica) Leader() (id, address string) { return "", "" }

// Guards against the answer that a process holds no state of a group before it knows that,
// after which a process that has lost its disk bootstraps the group a second time.
func TestDescribeBeforeStateIsKnown(t *testing.T) {
	s := &Server{logger: slog.New(slog.DiscardHandler), hostedGroups: map[string]*HostedGroup{"x": {Group: "x", Replica: openingReplica{}}}}
	_, err := (&GroupServer{s}).Describe(context.Background(), &peerv1.DescribeRequest{Group: "x"})
	var answer twirp.Error
	assert.Assert(t, errors.As(err, &answer), "%v", err)
	assert.Equal(t, answer.Code(), twirp.Unavailable)
}
