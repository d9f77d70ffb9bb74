package entry

import (
	"context"
	"slices"

	"connectrpc.com/connect"
	"github.com/pkg/errors"
	"github.com/twitchtv/twirp"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
)

// RecoverGroup passes the operator's decision to recover a group to the control
// process that the operator named. It is sent to no other process, since to recover
// the group from another replica may be a different choice.
func (s *operatorService) RecoverGroup(ctx context.Context, r *connect.Request[apiv1.RecoverGroupRequest]) (*connect.Response[apiv1.RecoverGroupResponse], error) {
	if err := s.checkOperator(r.Header()); err != nil {
		return nil, err
	}
	if !slices.Contains(s.fleetGroup.Addresses(), r.Msg.ControlAddress) {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.Errorf("%q is not the address of a known control process", r.Msg.ControlAddress))
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := peerv1.NewGroupServiceProtobufClient("http://"+r.Msg.ControlAddress, s.client).Recover(ctx, r.Msg)
	var refused twirp.Error
	if errors.As(err, &refused) && (refused.Code() == twirp.Aborted || refused.Code() == twirp.NotFound) {
		return nil, connect.NewError(connect.CodeFailedPrecondition, errors.New("not run: "+refused.Msg()))
	}
	if err != nil {
		return nil, connect.NewError(connect.CodeUnknown, errors.Wrap(err, "outcome unknown"))
	}
	return connect.NewResponse(reply), nil
}
