package port

import "fmt"

// NotLeaderError is returned by a replica that is not the leader of its group.
type NotLeaderError struct {
	Group string
	// Leader is the id of the leader and Address its address; both are empty if
	// the leader is not known.
	Leader  string
	Address string
}

// Error implements error.
func (e *NotLeaderError) Error() string {
	if e.Leader == "" {
		return fmt.Sprintf("group %s has no known leader", e.Group)
	}
	return fmt.Sprintf("group %s is led by %s at %s", e.Group, e.Leader, e.Address)
}

// StepError adds to an error the operation that failed and the peer concerned.
// Peer may be empty.
type StepError struct {
	Step string
	Peer string
	Err  error
}

// Error implements error.
func (e *StepError) Error() string {
	if e.Peer == "" {
		return fmt.Sprintf("%s: %v", e.Step, e.Err)
	}
	return fmt.Sprintf("%s (peer %s): %v", e.Step, e.Peer, e.Err)
}

// Unwrap returns the underlying error.
func (e *StepError) Unwrap() error { return e.Err }

// AtStep wraps an error in a StepError. It returns nil if err is nil.
func AtStep(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: err}
}
