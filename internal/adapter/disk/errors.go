package disk

import (
	"errors"
	"fmt"
	"syscall"
)

// ErrIdentityMissing is returned if the data folder has no identity file,
// because it is new or was emptied. A replica that used the folder before has
// lost its vote and log and must not return; the caller creates a replica with
// an id that was never used.
var ErrIdentityMissing = errors.New("the data folder has no identity file")

// ErrUnusable is returned by every call after an Append or SaveSnapshot that
// failed, unless with port.ErrNotStored, and after Close.
var ErrUnusable = errors.New("the storage failed earlier and is unusable")

// CorruptError reports a file that is damaged in another way than by a torn
// tail. The replica must be removed from its group and added under a new id.
type CorruptError struct {
	File string
	// Offset is the position of the damaged record in bytes.
	Offset int64
	Reason string
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("%s is corrupt at offset %d: %s", e.File, e.Offset, e.Reason)
}

// IOError reports a failed operation on a file or folder, for example a write
// to a full disk. After a failed sync, or a write that failed for another reason
// than lack of space, the content of the file is unknown, so the storage does not
// write to it again. When the folder is opened after a restart, the checksums show
// which records are intact.
type IOError struct {
	File string
	// Step is the operation that failed, such as "open", "write" or "sync".
	Step string
	Err  error
}

// Error implements error.
func (e *IOError) Error() string { return fmt.Sprintf("%s %s: %v", e.Step, e.File, e.Err) }

// Unwrap returns the error of the operating system.
func (e *IOError) Unwrap() error { return e.Err }

// isNoSpace reports whether an operation failed because the disk or the quota is full. Nothing
// but the new data is affected then.
func isNoSpace(err error) bool {
	return errors.Is(err, syscall.ENOSPC) || errors.Is(err, syscall.EDQUOT)
}

// IdentityError reports a data folder that belongs to another group.
type IdentityError struct {
	Group, WantGroup string
}

// Error implements error.
func (e *IdentityError) Error() string {
	return fmt.Sprintf("the data folder belongs to group %q, not %q", e.Group, e.WantGroup)
}
