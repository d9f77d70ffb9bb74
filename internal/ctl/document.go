package ctl

import (
	"errors"
	"fmt"

	"laburnumgrade/gen/apiv1"
	"laburnumgrade/gen/apiv1/apiv1connect"
	"laburnumgrade/internal/config"
)

// docCheck is the verb doc check.
type docCheck struct {
	app       *app
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"document, - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *docCheck) Execute(rest []string) error { return v.app.run(rest, v.check) }

// check checks a document offline.
func (v *docCheck) check() *report {
	_, document, problem := v.app.document(v.Arguments.File)
	if problem != nil {
		return problem
	}
	text := document.String()
	return &report{
		Exit: ExitOK, Message: v.Arguments.File + ": ok", Text: []byte(text),
		Answer: map[string]any{"document": text, "faults": []config.Fault{}},
	}
}

// document reads and checks a document. It returns the text and the parsed
// document.
func (a *app) document(path string) ([]byte, *config.Document, *report) {
	content, problem := a.input(path)
	if problem != nil {
		return nil, nil, problem
	}
	document, err := config.ParseDocument(path, content)
	if err == nil {
		return content, document, nil
	}
	r := usage(err.Error(), "correct the lines named and check again with lgctl doc check")
	var faults config.Faults
	if errors.As(err, &faults) {
		r.Message = fmt.Sprintf("%s has %d fault(s)", path, len(faults))
		r.Text = []byte(err.Error() + "\n")
		r.Answer = map[string]any{"faults": faults}
	}
	return nil, nil, r
}

// docGet is the verb doc get.
type docGet struct {
	app       *app
	Arguments struct {
		Team    string `positional-arg-name:"TEAM"`
		Service string `positional-arg-name:"SERVICE"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *docGet) Execute(rest []string) error { return v.app.run(rest, v.get) }

// get prints a document.
func (v *docGet) get() *report {
	request := &apiv1.GetDocumentRequest{Team: v.Arguments.Team, Service: v.Arguments.Service}
	answer, problem := sendToOperatorService(v.app, operatorRead(), apiv1connect.OperatorServiceClient.GetDocument, request)
	if problem != nil {
		return problem
	}
	return &report{
		Exit: ExitOK, Answer: answer, Text: []byte(answer.GetText()),
		Message: fmt.Sprintf("version %d", answer.GetVersion()),
		Next:    fmt.Sprintf("edit it and run lgctl doc put --replaces %d FILE", answer.GetVersion()),
	}
}

// docPut is the verb doc put.
type docPut struct {
	app       *app
	Replaces  uint64           `long:"replaces" value-name:"VERSION" description:"version that the document replaces, as doc get shows it; 0 for a new document" default:"0"`
	Operation operationOptions `group:"Change options"`
	Arguments struct {
		File string `positional-arg-name:"FILE" description:"document, - for the standard input"`
	} `positional-args:"yes" required:"yes"`
}

// Execute implements flags.Commander.
func (v *docPut) Execute(rest []string) error { return v.app.run(rest, v.put) }

// put checks a document, sends it, and waits until it is in force.
func (v *docPut) put() *report {
	content, document, problem := v.app.document(v.Arguments.File)
	if problem != nil {
		return problem
	}
	operation, problem := v.Operation.id()
	if problem != nil {
		return problem
	}
	request := &apiv1.PutDocumentRequest{Text: string(content), Replaces: v.Replaces, OperationId: operation}
	answer, problem := sendToOperatorService(v.app, operatorChange(operation), apiv1connect.OperatorServiceClient.PutDocument, request)
	if problem != nil {
		return problem
	}
	subject := fmt.Sprintf("version %d of document %s/%s", answer.GetVersion(), document.Spec.Team, document.Spec.Service)
	return v.app.waitUntilInForce(v.Operation, operation, subject, answer.GetChange(), func(c *apiv1.Change) any {
		answer.Change = c
		return answer
	})
}
