package ctl

import (
	"fmt"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
)

// recoverVerb is the verb recover.
type recoverVerb struct {
	app       *app
	Control   string `long:"control" value-name:"IP:PORT" required:"yes" description:"address of the control process whose replica survives, as members shows it"`
	Lost      bool   `long:"quorum-is-lost" description:"confirm that most voters are gone for good; what only they held is lost"`
	Arguments struct {
		Group string `positional-arg-name:"GROUP"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *recoverVerb) Execute(rest []string) error { return v.app.run(rest, v.recover) }

// recover makes one replica the only voter of its group, after a quorum of the group was
// lost permanently.
func (v *recoverVerb) recover() *report {
	if !v.Lost {
		return usage("recovery loses what only the lost replicas held", "check with lgctl status and members that most voters are gone for good, then add --quorum-is-lost")
	}
	request := &apiv1.RecoverGroupRequest{Group: v.Arguments.Group, ControlAddress: v.Control}
	answer, problem := sendToOperatorService(v.app, operatorChange(""), apiv1connect.OperatorServiceClient.RecoverGroup, request)
	if problem != nil {
		return problem
	}
	return &report{
		Exit: ExitOK, Answer: answer,
		Text: fmt.Appendf(nil, "group %s: replica %s is the only voter, term %d\n", v.Arguments.Group, answer.GetReplica(), answer.GetTerm()),
		Next: "restart the other control processes of the group with join = yes and empty data folders; lgctl status shows when they are voters",
	}
}
