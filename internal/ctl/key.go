package ctl

import (
	"bytes"
	"fmt"
	"text/tabwriter"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

// keyGrant is the verb key grant.
type keyGrant struct {
	app       *app
	Comment   string           `long:"comment" value-name:"TEXT" description:"what the key is for"`
	Operation operationOptions `group:"Change options"`
	Arguments struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *keyGrant) Execute(rest []string) error { return v.app.run(rest, v.grant) }

// grant grants a new key and prints it.
func (v *keyGrant) grant() *report {
	operation, problem := v.Operation.id()
	if problem != nil {
		return problem
	}
	request := &apiv1.GrantKeyRequest{Team: v.Arguments.Team, Comment: v.Comment, OperationId: operation}
	answer, problem := sendToOperatorService(v.app, operatorChange(operation), apiv1connect.OperatorServiceClient.GrantKey, request)
	if problem != nil {
		return problem
	}
	if answer.GetKey() == "" {
		return &report{
			Exit: ExitFailed, ID: operation, Answer: answer,
			Message: fmt.Sprintf("key %s was granted by this operation before, and its value is shown only once", answer.GetKeyId()),
			Next:    fmt.Sprintf("run lgctl key withdraw %s, then lgctl key grant %s without --operation-id", answer.GetKeyId(), v.Arguments.Team),
		}
	}
	subject := fmt.Sprintf("key %s of team %s", answer.GetKeyId(), v.Arguments.Team)
	r := v.app.waitUntilInForce(v.Operation, operation, subject, answer.GetChange(), func(c *apiv1.Change) any {
		answer.Change = c
		return answer
	})
	r.Text = []byte(answer.GetKey() + "\n")
	if r.Exit == ExitOK {
		r.Next = "store the key now: it cannot be shown again"
	} else {
		// Resending the operation would not return the key again, because an entry
		// shows it only once.
		r.Next = "store the key now: it cannot be shown again; it works everywhere once the change is in force"
	}
	return r
}

// keyWithdraw is the verb key withdraw.
type keyWithdraw struct {
	app       *app
	Operation operationOptions `group:"Change options"`
	Arguments struct {
		KeyID string `positional-arg-name:"KEY-ID" description:"id as key list shows it, not the key"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *keyWithdraw) Execute(rest []string) error { return v.app.run(rest, v.withdraw) }

// withdraw withdraws a key and waits until no process accepts it any more.
func (v *keyWithdraw) withdraw() *report {
	operation, problem := v.Operation.id()
	if problem != nil {
		return problem
	}
	request := &apiv1.WithdrawKeyRequest{KeyId: v.Arguments.KeyID, OperationId: operation}
	answer, problem := sendToOperatorService(v.app, operatorChange(operation), apiv1connect.OperatorServiceClient.WithdrawKey, request)
	if problem != nil {
		return problem
	}
	subject := "withdrawal of key " + v.Arguments.KeyID
	return v.app.waitUntilInForce(v.Operation, operation, subject, answer.GetChange(), func(c *apiv1.Change) any {
		answer.Change = c
		return answer
	})
}

// keyList is the verb key list.
type keyList struct {
	app       *app
	Arguments struct {
		Team string `positional-arg-name:"TEAM"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *keyList) Execute(rest []string) error { return v.app.run(rest, v.list) }

// list prints a team's keys.
func (v *keyList) list() *report {
	request := &apiv1.ListKeysRequest{Team: v.Arguments.Team}
	answer, problem := sendToOperatorService(v.app, operatorRead(), apiv1connect.OperatorServiceClient.ListKeys, request)
	if problem != nil {
		return problem
	}
	text := table("KEY-ID\tTEAM\tSTATE\tCOMMENT", func(w *tabwriter.Writer) {
		for _, key := range answer.GetKeys() {
			state := "valid"
			if key.GetWithdrawn() {
				state = "withdrawn"
			}
			fmt.Fprintf(w, "%s\t%s\t%s\t%s\n", key.GetKeyId(), key.GetTeam(), state, key.GetComment())
		}
	})
	return &report{Exit: ExitOK, Answer: answer, Text: text}
}

// table returns a table with aligned columns. Columns are separated by tabs in the
// header and in the rows.
func table(header string, rows func(*tabwriter.Writer)) []byte {
	var out bytes.Buffer
	w := tabwriter.NewWriter(&out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, header)
	rows(w)
	_ = w.Flush()
	return out.Bytes()
}
