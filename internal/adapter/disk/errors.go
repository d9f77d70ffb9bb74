package disk

import (
	"errors"
	"fmt"
)

// ErrIdentityMissing says that the data folder has no identity file: it is new
// or was emptied. Whatever replica used it before must not come back; the
// caller creates a replica with an id that was never used.
var ErrIdentityMissing = errors.New("the data folder has no identity file")

// ErrUnusable is returned by every call after one that failed.
var ErrUnusable = errors.New("the storage failed earlier and is unusable")

// CorruptError says that a file is damaged other than by a torn tail. The
// replica must be removed from its group and added again under a new id.
type CorruptError struct {
	File   string
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// IOError says that a write or sync failed, perhaps because the disk is
// full. What the file holds is unknown, so it is not written again; after a
// restart the checksums tell.
type IOError struct {
	File string
	Step string
	Err  error
}

// Error implements error.
func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.File, e.Err) }

// Unwrap returns the error of the operating system.
func (e *IOError) Unwrap() error { return e.Err }

// IdentityError says that the data folder belongs to another replica or group.
type IdentityError struct {
	Group, WantGroup string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("the data folder belongs to group %q, not %q", e.Group, e.WantGroup)
}
