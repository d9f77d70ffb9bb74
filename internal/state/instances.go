package state

import (
	"strings"

	"laburnumgrade/internal/structs"
)

// IsService reports whether the job's tasks are the instances of a service that
// its document asks for.
func IsService(j *structs.Job) bool {
	return j.Spec.Class == structs.ClassService && strings.HasPrefix(j.ID, "service/")
}
