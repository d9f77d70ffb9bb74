package fleet

import (
	"fmt"

	"github.com/cespare/xxhash/v2"
	"google.golang.org/protobuf/proto"

	"laburnumgrade/gen/statev1"
)

// operation is the digest and result of an operator's change.
type operation struct {
	digest uint64
	result *statev1.FleetResult
}

// resentResult returns the result of the first command with the same operation id,
// or nil if the id is new. A different change under the same id is refused,
// because its operator would take the first result for its own.
func (s *Store) resentResult(c *statev1.FleetCommand) *statev1.FleetResult {
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

// operationDigest covers the content of the operator's request. It leaves out the
// id and hash of a new key, which the entry generates and which differ in a resend.
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

// rememberOperation keeps the result of an operator's change. Commands without an
// operation id come from the system itself; they are numbered instead.
func (s *Store) rememberOperation(c *statev1.FleetCommand, r *statev1.FleetResult) {
	if c.OperationId == "" {
		return
	}
	s.operations[c.OperationId] = operation{operationDigest(c), proto.Clone(r).(*statev1.FleetResult)}
	s.operationOrder = append(s.operationOrder, c.OperationId)
	if len(s.operationOrder) > maxOperations {
		delete(s.operations, s.operationOrder[0])
		s.operationOrder = s.operationOrder[1:]
	}
}
