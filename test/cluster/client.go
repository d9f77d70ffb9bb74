package cluster

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"time"

	"connectrpc.com/connect"
	"github.com/google/uuid"
	"github.com/pkg/errors"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/gen/peerv1"
	"laburnumgrade/internal/standin"
)

// Operator returns a client for the operator's API of an entry.
func (c *Cluster) Operator(entry *Process) apiv1connect.OperatorServiceClient {
	return apiv1connect.NewOperatorServiceClient(c.Client, "http://"+entry.Public, connect.WithInterceptors(withKey(c.OperatorKey)))
}

// Caller returns a client for the callers' API of an entry that sends the key
// of a team.
func (c *Cluster) Caller(entry *Process, key string) apiv1connect.CallerServiceClient {
	return apiv1connect.NewCallerServiceClient(c.Client, "http://"+entry.Public, connect.WithInterceptors(withKey(key)))
}

func withKey(key string) connect.Interceptor {
	return connect.UnaryInterceptorFunc(func(next connect.UnaryFunc) connect.UnaryFunc {
		return func(ctx context.Context, r connect.AnyRequest) (connect.AnyResponse, error) {
			r.Header().Set("Authorization", "Bearer "+key)
			return next(ctx, r)
		}
	})
}

// NewID returns a new UUIDv7 as text.
func NewID() string { return uuid.Must(uuid.NewV7()).String() }

// PutDocument puts a new document and returns its version. It retries with the
// same operation id until the call succeeds, for at most 20 s.
func (c *Cluster) PutDocument(ctx context.Context, entry *Process, text string) (uint64, error) {
	operation := NewID()
	var version uint64
	err := Retry(ctx, 20*time.Second, func(ctx context.Context) error {
		r, err := c.Operator(entry).PutDocument(ctx, connect.NewRequest(&apiv1.PutDocumentRequest{Text: text, OperationId: operation}))
		if err == nil {
			version = r.Msg.Version
		}
		return err
	})
	return version, err
}

// GrantKey grants a new key to a team.
func (c *Cluster) GrantKey(ctx context.Context, entry *Process, team string) (*apiv1.GrantKeyResponse, error) {
	r, err := c.Operator(entry).GrantKey(ctx, connect.NewRequest(&apiv1.GrantKeyRequest{Team: team, OperationId: NewID()}))
	if err != nil {
		return nil, err
	}
	return r.Msg, nil
}

// AwaitInForce waits until the configuration change with the index is in force
// on all processes, for at most 20 s.
func (c *Cluster) AwaitInForce(ctx context.Context, entry *Process, index uint64) error {
	return Retry(ctx, 20*time.Second, func(ctx context.Context) error {
		r, err := c.Operator(entry).GetChange(ctx, connect.NewRequest(&apiv1.GetChangeRequest{Index: index}))
		if err != nil {
			return err
		}
		if !r.Msg.Change.InForce {
			return errors.Errorf("change is not yet in force in %v", r.Msg.Change.Outstanding)
		}
		return nil
	})
}

// Report returns the records of the emulated targets.
func (c *Cluster) Report(ctx context.Context) (*standin.Report, error) {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s/records", c.Standin.Admin), nil)
	if err != nil {
		return nil, err
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return nil, errors.Wrap(err, "read records")
	}
	defer resp.Body.Close()
	report := &standin.Report{}
	return report, errors.Wrap(json.NewDecoder(resp.Body).Decode(report), "decode records")
}

// groupStatus returns the status of the groups as reported by a control
// process.
func (c *Cluster) groupStatus(ctx context.Context, p *Process) (*apiv1.StatusResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, time.Second)
	defer cancel()
	return peerv1.NewDataCentreServiceProtobufClient("http://"+p.Peer, c.Client).Status(ctx, &apiv1.StatusRequest{})
}

// Leader returns the process that leads the group of the data centre with the
// index dc in Spec.DataCentres. It waits for a leader for at most 20 s.
func (c *Cluster) Leader(ctx context.Context, dc int) (*Process, error) {
	var leader *Process
	err := Retry(ctx, 20*time.Second, func(ctx context.Context) error {
		r, err := c.groupStatus(ctx, c.Controls[dc*c.Spec.VMsPerDataCentre])
		if err != nil {
			return err
		}
		for _, g := range r.Groups {
			if g.Group == c.Spec.DataCentres[dc] {
				leader = c.controlOfReplica(g.Leader)
			}
		}
		if leader == nil {
			return errors.Errorf("the group of %s has no leader", c.Spec.DataCentres[dc])
		}
		return nil
	})
	return leader, err
}

// controlOfReplica returns the control process that runs the replica with the
// id, which has the form NAME#NUMBER, or nil.
func (c *Cluster) controlOfReplica(id string) *Process {
	name, _, _ := strings.Cut(id, "#")
	for _, p := range c.Controls {
		if p.Name == name {
			return p
		}
	}
	return nil
}

// AwaitVoters waits until the members of each group are exactly the current
// replicas of the control processes, all of them voters, for at most 40 s.
func (c *Cluster) AwaitVoters(ctx context.Context) error {
	return Retry(ctx, 40*time.Second, func(ctx context.Context) error {
		leading := map[string]*apiv1.GroupStatus{}
		replicas := map[string][]string{}
		for _, p := range c.Controls {
			r, err := c.groupStatus(ctx, p)
			if err != nil {
				return err
			}
			for _, g := range r.Groups {
				replicas[g.Group] = append(replicas[g.Group], g.Replica)
				if g.Leader != "" && g.Leader == g.Replica {
					leading[g.Group] = g
				}
			}
		}
		for _, name := range append([]string{"fleet"}, c.Spec.DataCentres...) {
			if g := leading[name]; g == nil || !sameMembers(g, replicas[name]) {
				return errors.Errorf("the members of group %s are not its current replicas", name)
			}
		}
		return nil
	})
}

func sameMembers(g *apiv1.GroupStatus, replicas []string) bool {
	if len(g.Voters) != len(replicas) || len(g.Learners) > 0 {
		return false
	}
	for _, id := range replicas {
		if !slices.Contains(g.Voters, id) {
			return false
		}
	}
	return true
}

// TaskStarts returns how many tasks have started on a target.
func (c *Cluster) TaskStarts(ctx context.Context, target string) (int, error) {
	report, err := c.Report(ctx)
	if err != nil {
		return 0, err
	}
	n := 0
	for _, run := range report.Runs {
		if run.Target == target {
			n++
		}
	}
	return n, nil
}

// Leave makes an emulated target announce that it leaves.
func (c *Cluster) Leave(ctx context.Context, target string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, fmt.Sprintf("http://%s/leave?target=%s", c.Standin.Admin, target), nil)
	if err != nil {
		return err
	}
	resp, err := c.Client.Do(r)
	if err != nil {
		return errors.Wrap(err, "announce that a target leaves")
	}
	return resp.Body.Close()
}
