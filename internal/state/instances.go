package state

import (
	"strings"

	"laburnumgrade/internal/structs"
)

// IsServiceJob reports whether the job's tasks are the instances of a service that
// its document asks for.
func IsServiceJob(j *structs.Job) bool {
	return j.Spec.Class == structs.ClassService && strings.HasPrefix(j.ID, "service/")
}
