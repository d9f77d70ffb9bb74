package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
)

// operation is a remembered operation id.
type operation struct {
	digest uint64
	result *statev1.FleetResult
}

// repeated answers a resend with the first result. Another change under the
// same id is refused: its operator would take the answer for its own.
func (s *Store) repeated(c *statev1.FleetCommand) *statev1.FleetResult {
	first, found := s.operations[c.OperationId]
	if !found {
		return nil
	}
	if first.digest != operationDigest(c) {
		return &statev1.FleetResult{Refusal: fmt.Sprintf("operation id %s was used for another change", c.OperationId)}
	}
	again := proto.Clone(first.result).(*statev1.FleetResult)
	again.Duplicate = true
	return again
}

// operationDigest covers what the operator asked for. The id and hash of a new
// key are made by the entry and differ in a resend.
func operationDigest(c *statev1.FleetCommand) uint64 {
	d := xxhash.New()
	add := func(kind string, parts ...any) {
		_, _ = d.WriteString(kind)
		for _, p := range parts {
			_, _ = fmt.Fprintf(d, " %q", fmt.Sprint(p))
		}
	}
	switch c := c.Command.(type) {
	case *statev1.FleetCommand_PutDocument:
		add("put", c.PutDocument.Replaces, c.PutDocument.Text)
	case *statev1.FleetCommand_GrantKey:
		add("grant", c.GrantKey.Team, c.GrantKey.Comment)
	case *statev1.FleetCommand_WithdrawKey:
		add("withdraw", c.WithdrawKey.KeyId)
	case *statev1.FleetCommand_SetGroup:
		add("group", c.SetGroup.Group, c.SetGroup.Replicas)
	}
	return d.Sum64()
}

// remember keeps the result of an operator's change. Commands of the system's
// own carry numbers instead of an operation id.
func (s *Store) remember(c *statev1.FleetCommand, r *statev1.FleetResult) {
	if c.OperationId == "" {
		return
	}
	s.operations[c.OperationId] = operation{operationDigest(c), proto.Clone(r).(*statev1.FleetResult)}
	s.order = append(s.order, c.OperationId)
	if len(s.order) > maxOperations {
		delete(s.operations, s.order[0])
		s.order = s.order[1:]
	}
}
