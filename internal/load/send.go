package load

import (
	"context"
	"fmt"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

// waitMs is how long one question for the result of a job is held.
const waitMs = 5000

// Sender sends work through entries, in turn.
type Sender struct {
	clients []apiv1connect.CallerServiceClient
	next    atomic.Uint64
	// Body is that of each call and job; Deadline the time budget of a call.
	Body     []byte
	Deadline time.Duration
}

// NewClient returns an HTTP client that keeps as many connections as the load
// needs.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}}
}

// NewSender returns a sender for the entries' addresses.
func NewSender(client *http.Client, entries []string, body []byte, deadline time.Duration) *Sender {
	s := &Sender{Body: body, Deadline: deadline}
	for _, e := range entries {
		s.clients = append(s.clients, apiv1connect.NewCallerServiceClient(client, "http://"+e, connect.WithAcceptCompression("gzip", nil, nil)))
	}
	return s
}

func (s *Sender) client() apiv1connect.CallerServiceClient {
	return s.clients[s.next.Add(1)%uint64(len(s.clients))]
}

func withKey[T any](m *T, key string) *connect.Request[T] {
	r := connect.NewRequest(m)
	if key != "" {
		r.Header().Set("Authorization", "Bearer "+key)
	}
	return r
}

// Call returns a Send that calls a service.
func (s *Sender) Call(team, service, key string) SendFunc {
	return func(ctx context.Context) (apiv1.Outcome, string, error) {
		id := uuid.Must(uuid.NewV7()).String()
		r, err := s.client().Call(ctx, withKey(&apiv1.CallRequest{
			RequestId: id, Team: team, Service: service, Body: s.Body, DeadlineMs: s.Deadline.Milliseconds(),
		}, key))
		if err != nil {
			return 0, "", err
		}
		if r.Msg.RequestId != id {
			return 0, "", errors.Errorf("the answer belongs to request %s", r.Msg.RequestId)
		}
		return r.Msg.Outcome, r.Msg.Detail, nil
	}
}

// Job returns a Send that submits a job and waits for its end. Several tasks
// make a gang job if the document says so.
func (s *Sender) Job(team, service, key string, tasks int32) SendFunc {
	return func(ctx context.Context) (apiv1.Outcome, string, error) {
		id := uuid.Must(uuid.NewV7()).String()
		_, err := s.client().SubmitJob(ctx, withKey(&apiv1.SubmitJobRequest{JobId: id, Team: team, Service: service, Payload: s.Body, Tasks: tasks}, key))
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			return apiv1.Outcome_OUTCOME_NOT_RUN, err.Error(), nil
		}
		for err == nil {
			var r *connect.Response[apiv1.Job]
			r, err = s.client().WaitJob(ctx, withKey(&apiv1.WaitJobRequest{JobId: id, WaitMs: waitMs}, key))
			if err == nil && r.Msg.State == apiv1.JobState_JOB_STATE_ENDED {
				return r.Msg.Outcome, "job " + id, nil
			}
		}
		return 0, "", err
	}
}

// DirectCall returns a Send that calls instances in turn, without the system.
func DirectCall(client *http.Client, instances []string, body []byte, deadline time.Duration) SendFunc {
	clients := make([]apiv1connect.InstanceServiceClient, len(instances))
	for i, address := range instances {
		clients[i] = apiv1connect.NewInstanceServiceClient(client, "http://"+address, connect.WithAcceptCompression("gzip", nil, nil))
	}
	var next atomic.Uint64
	return func(ctx context.Context) (apiv1.Outcome, string, error) {
		n := next.Add(1)
		r, err := clients[n%uint64(len(clients))].Invoke(ctx, connect.NewRequest(&apiv1.InvokeRequest{
			RequestId: fmt.Sprintf("direct-%d", n), Attempt: 1, Body: body, DeadlineMs: deadline.Milliseconds(),
		}))
		if err != nil {
			return 0, "", err
		}
		if r.Msg.Digest != xxhash.Sum64(r.Msg.Body) {
			return 0, "", errors.New("the answer does not match its digest")
		}
		return r.Msg.Outcome, r.Msg.Detail, nil
	}
}
