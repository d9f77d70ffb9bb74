package port

import "fmt"

// NotLeaderError says that the replica asked does not lead its group.
type NotLeaderError struct {
	Group string
	// Leader and Address are empty if the leader is not known.
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

// StepError carries the step at which an error arose and the peer concerned.
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

// AtStep adds the step and the peer to an error; it returns nil for nil.
func AtStep(step, peer string, err error) error {
	if err == nil {
		return nil
	}
	return &StepError{Step: step, Peer: peer, Err: err}
}
