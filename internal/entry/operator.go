package entry

import (
	"context"
	"net/http"

	"connectrpc.com/connect"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/gen/statev1"
	"laburnumgrade/internal/adapter/peer"
	"laburnumgrade/internal/config"
)

// operatorService serves requests of operators.
type operatorService struct{ *Server }

// PutDocument replaces a team's document.
func (s *operatorService) PutDocument(ctx context.Context, r *connect.Request[apiv1.PutDocumentRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	if err := s.checkChange(r.Header(), r.Msg.OperationId); err != nil {
		return nil, err
	}
	d, err := config.ParseDocument("document", []byte(r.Msg.Text))
	if err != nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, err)
	}
	result, err := s.change(ctx, &statev1.FleetCommand{OperationId: r.Msg.OperationId, Command: &statev1.FleetCommand_PutDocument{PutDocument: &statev1.PutDocument{
		Text: r.Msg.Text, Replaces: r.Msg.Replaces, Spec: d.Spec.Proto(), Share: int64(d.Share), Limit: d.Limit.Proto(), CutGraceMs: d.CutGrace.Milliseconds(),
	}}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(changeResponse(result)), nil
}

// GetDocument returns a document's text and version.
func (s *operatorService) GetDocument(_ context.Context, r *connect.Request[apiv1.GetDocumentRequest]) (*connect.Response[apiv1.GetDocumentResponse], error) {
	if err := s.checkOperator(r.Header()); err != nil {
		return nil, err
	}
	d := s.follower.Store().Document(r.Msg.Team, r.Msg.Service)
	if d == nil {
		return nil, connect.NewError(connect.CodeNotFound, errors.Errorf("team %s has no document for service %s", r.Msg.Team, r.Msg.Service))
	}
	return connect.NewResponse(&apiv1.GetDocumentResponse{Text: d.Text, Version: d.Version}), nil
}

// GrantKey creates a key for a team. The answer to a resend contains the id of the
// key, but not the key itself, which is not stored.
func (s *operatorService) GrantKey(ctx context.Context, r *connect.Request[apiv1.GrantKeyRequest]) (*connect.Response[apiv1.GrantKeyResponse], error) {
	if err := s.checkChange(r.Header(), r.Msg.OperationId); err != nil {
		return nil, err
	}
	id, key, hash, err := newKey()
	if err != nil {
		return nil, err
	}
	result, err := s.change(ctx, &statev1.FleetCommand{OperationId: r.Msg.OperationId, Command: &statev1.FleetCommand_GrantKey{GrantKey: &statev1.GrantKey{
		KeyId: id, Team: r.Msg.Team, Hash: hash, Comment: r.Msg.Comment,
	}}})
	if err != nil {
		return nil, err
	}
	reply := &apiv1.GrantKeyResponse{Key: key, KeyId: result.KeyId, Change: &apiv1.Change{Index: result.Index}, Duplicate: result.Duplicate}
	if result.KeyId != id {
		reply.Key = ""
	}
	return connect.NewResponse(reply), nil
}

// WithdrawKey makes a key invalid.
func (s *operatorService) WithdrawKey(ctx context.Context, r *connect.Request[apiv1.WithdrawKeyRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	if err := s.checkChange(r.Header(), r.Msg.OperationId); err != nil {
		return nil, err
	}
	result, err := s.change(ctx, &statev1.FleetCommand{OperationId: r.Msg.OperationId, Command: &statev1.FleetCommand_WithdrawKey{WithdrawKey: &statev1.WithdrawKey{KeyId: r.Msg.KeyId}}})
	if err != nil {
		return nil, err
	}
	return connect.NewResponse(changeResponse(result)), nil
}

// ListKeys returns the ids, comments and states of a team's keys, without the keys
// themselves.
func (s *operatorService) ListKeys(_ context.Context, r *connect.Request[apiv1.ListKeysRequest]) (*connect.Response[apiv1.ListKeysResponse], error) {
	if err := s.checkOperator(r.Header()); err != nil {
		return nil, err
	}
	reply := &apiv1.ListKeysResponse{}
	for _, k := range s.follower.Store().Keys(r.Msg.Team) {
		reply.Keys = append(reply.Keys, &apiv1.KeyInfo{KeyId: k.KeyId, Team: k.Team, Comment: k.Comment, Withdrawn: k.Withdrawn})
	}
	return connect.NewResponse(reply), nil
}

// GetChange reports whether a change is in force everywhere.
func (s *operatorService) GetChange(ctx context.Context, r *connect.Request[apiv1.GetChangeRequest]) (*connect.Response[apiv1.ChangeResponse], error) {
	if err := s.checkOperator(r.Header()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	change, err := peer.Call(ctx, s.fleetGroup, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*apiv1.Change, error) {
		return peerv1.NewFleetServiceProtobufClient(url, c).GetChange(ctx, r.Msg)
	}))
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(&apiv1.ChangeResponse{Change: change}), nil
}

// Status returns the status of the groups. The request goes to the leader of the
// entry's own data centre.
func (s *operatorService) Status(ctx context.Context, r *connect.Request[apiv1.StatusRequest]) (*connect.Response[apiv1.StatusResponse], error) {
	if err := s.checkOperator(r.Header()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, s.dataCentreGroups[s.dataCentre], peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, c *http.Client, url string) (*apiv1.StatusResponse, error) {
		return peerv1.NewDataCentreServiceProtobufClient(url, c).Status(ctx, r.Msg)
	}))
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(reply), nil
}

// ListMembers returns the processes of the system.
func (s *operatorService) ListMembers(ctx context.Context, r *connect.Request[apiv1.ListMembersRequest]) (*connect.Response[apiv1.ListMembersResponse], error) {
	if err := s.checkOperator(r.Header()); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, err := peer.Call(ctx, s.fleetGroup, func(ctx context.Context, c *http.Client, url string) (*apiv1.ListMembersResponse, error) {
		return peerv1.NewFleetServiceProtobufClient(url, c).ListMembers(ctx, r.Msg)
	})
	if err != nil {
		return nil, controlError(err)
	}
	return connect.NewResponse(reply), nil
}

// checkChange returns an error if the operator's key or the id of the operation is
// missing or wrong.
func (s *operatorService) checkChange(h http.Header, operationID string) error {
	if err := s.checkOperator(h); err != nil {
		return err
	}
	if operationID == "" {
		return connect.NewError(connect.CodeInvalidArgument, errors.New("operation_id is missing; a resend needs it to be recognised"))
	}
	return nil
}

// change commits a change in the fleet group.
func (s *operatorService) change(ctx context.Context, command *statev1.FleetCommand) (*statev1.FleetResult, error) {
	ctx, cancel := context.WithTimeout(ctx, controlTimeout)
	defer cancel()
	reply, uncertain, err := peer.CallReportingSent(ctx, s.fleetGroup, peer.WithAttemptTimeout(tryTimeout, func(ctx context.Context, client *http.Client, url string) (*peerv1.ProposeResponse, error) {
		return peerv1.NewFleetServiceProtobufClient(url, client).Propose(ctx, &peerv1.ProposeRequest{Command: command})
	}))
	if err != nil {
		return nil, changeError(err)
	}
	if reply.Result.Refusal != "" && uncertain {
		return nil, refusedAfterLostTry(reply.Result.Refusal)
	}
	if reply.Result.Refusal != "" {
		return nil, connect.NewError(connect.CodeAborted, errors.New(reply.Result.Refusal))
	}
	return reply.Result, nil
}

func changeResponse(r *statev1.FleetResult) *apiv1.ChangeResponse {
	return &apiv1.ChangeResponse{Change: &apiv1.Change{Index: r.Index}, Version: r.Version, Duplicate: r.Duplicate}
}
