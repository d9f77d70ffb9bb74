package ctl

import (
	"bytes"
	"encoding/json"
	"fmt"

	"google.golang.org/protobuf/encoding/protojson"
	"google.golang.org/protobuf/proto"
)

// report is the result of a verb.
type report struct {
	Exit ExitCode
	// Message describes the result of the verb.
	Message string
	// Next describes what the user can do next; empty if there is nothing to recommend.
	Next string
	// ID is the id of the job, request or operation, with which its state can be
	// read or the request sent again.
	ID string
	// Answer is printed with --json: a proto.Message, or a value that encoding/json
	// can encode.
	Answer any
	// Text is what is printed to the standard output without --json.
	Text []byte
}

// usage returns the report of invalid arguments or input.
func usage(message, next string) *report {
	return &report{Exit: ExitUsage, Message: message, Next: next}
}

// jsonReport is the form of a report with --json.
type jsonReport struct {
	Exit    ExitCode        `json:"exit"`
	Result  string          `json:"result"`
	Message string          `json:"message,omitempty"`
	Next    string          `json:"next,omitempty"`
	ID      string          `json:"id,omitempty"`
	Answer  json.RawMessage `json:"answer,omitempty"`
}

// print writes the report: with --json as one object to standard output, otherwise
// the text to standard output, and the message and next step to standard error.
func (a *app) print(r *report) {
	if a.JSON {
		a.printJSON(r)
		return
	}
	_, _ = a.environment.Stdout.Write(r.Text)
	if r.Message != "" {
		fmt.Fprintf(a.environment.Stderr, "lgctl: %s\n", r.Message)
	}
	if r.Next != "" {
		fmt.Fprintf(a.environment.Stderr, "next: %s\n", r.Next)
	}
}

// printJSON writes the report as one JSON object.
func (a *app) printJSON(r *report) {
	object := jsonReport{Exit: r.Exit, Result: r.Exit.String(), Message: r.Message, Next: r.Next, ID: r.ID}
	encoded, err := encode(r.Answer)
	if err != nil {
		object.Message += fmt.Sprintf(" (the answer cannot be encoded: %v)", err)
	}
	object.Answer = encoded
	encoder := json.NewEncoder(a.environment.Stdout)
	encoder.SetIndent("", "  ")
	_ = encoder.Encode(object)
}

// encode returns the answer in JSON, nil if there is none.
func encode(answer any) (json.RawMessage, error) {
	message, ok := answer.(proto.Message)
	if !ok {
		if answer == nil {
			return nil, nil
		}
		return json.Marshal(answer)
	}
	options := protojson.MarshalOptions{UseProtoNames: true, EmitUnpopulated: true}
	encoded, err := options.Marshal(message)
	if err != nil {
		return nil, err
	}
	// protojson adds random spaces, which would make the output unstable.
	var compact bytes.Buffer
	err = json.Compact(&compact, encoded)
	return compact.Bytes(), err
}
