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

// jobWaitMs is how long an entry may hold one request for the end of a job.
const jobWaitMs = 5000

// Sender sends calls and jobs through entries in turn.
type Sender struct {
	clients []apiv1connect.CallerServiceClient
	next    atomic.Uint64
	// Body is the body of each call and the payload of each job.
	Body []byte
	// Deadline is the time budget of each call.
	Deadline time.Duration
}

// NewClient returns an HTTP client that keeps enough idle connections for calls in
// flight at high rates.
func NewClient() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 1 << 14, DisableCompression: true}}
}

// NewSender returns a sender that uses the entries with the given addresses.
func NewSender(client *http.Client, entries []string, body []byte, deadline time.Duration) *Sender {
	s := &Sender{Body: body, Deadline: deadline}
	for _, entry := range entries {
		s.clients = append(s.clients, apiv1connect.NewCallerServiceClient(client, "http://"+entry, connect.WithAcceptCompression("gzip", nil, nil)))
	}
	return s
}

// client returns the client of the next entry.
func (s *Sender) client() apiv1connect.CallerServiceClient {
	return s.clients[s.next.Add(1)%uint64(len(s.clients))]
}

// newRequest returns a request with a team's key, or without one if key is empty.
func newRequest[T any](message *T, key string) *connect.Request[T] {
	r := connect.NewRequest(message)
	if key != "" {
		r.Header().Set("Authorization", "Bearer "+key)
	}
	return r
}

// Call returns a function that calls a service of a team.
func (s *Sender) Call(team, service, key string) SendFunc {
	return func(ctx context.Context) (apiv1.Outcome, string, error) {
		id := uuid.Must(uuid.NewV7()).String()
		r, err := s.client().Call(ctx, newRequest(&apiv1.CallRequest{
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

// Job returns a function that submits a job with a number of tasks and waits for its
// end. Whether it is a gang job depends on the class in the service's document.
func (s *Sender) Job(team, service, key string, tasks int32) SendFunc {
	return func(ctx context.Context) (apiv1.Outcome, string, error) {
		id := uuid.Must(uuid.NewV7()).String()
		_, err := s.client().SubmitJob(ctx, newRequest(&apiv1.SubmitJobRequest{JobId: id, Team: team, Service: service, Payload: s.Body, Tasks: tasks}, key))
		if connect.CodeOf(err) == connect.CodeFailedPrecondition {
			return apiv1.Outcome_OUTCOME_NOT_RUN, err.Error(), nil
		}
		for err == nil {
			var r *connect.Response[apiv1.Job]
			r, err = s.client().WaitJob(ctx, newRequest(&apiv1.WaitJobRequest{JobId: id, WaitMs: jobWaitMs}, key))
			if err == nil && r.Msg.State == apiv1.JobState_JOB_STATE_ENDED {
				return r.Msg.Outcome, "job " + id, nil
			}
		}
		return 0, "", err
	}
}

// DirectCall returns a function that calls instances in turn, without an entry.
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
