package logging

import (
	"crypto/subtle"
	"fmt"
	"log/slog"
)

// redacted is printed instead of a secret.
const redacted = "[redacted]"

// Secret holds a key that only Reveal returns: printing, logging and encoding a
// Secret yield a placeholder. The value is behind a pointer because fmt prints
// unexported fields of an enclosing struct without calling their methods.
type Secret struct{ value *string }

// NewSecret returns a secret that holds the value.
func NewSecret(value string) Secret { return Secret{&value} }

// Reveal returns the value, empty if the secret holds none.
func (s Secret) Reveal() string {
	if s.value == nil {
		return ""
	}
	return *s.value
}

// IsZero reports whether the value is empty.
func (s Secret) IsZero() bool { return s.Reveal() == "" }

// Equal compares two secrets in a time that depends only on their lengths.
func (s Secret) Equal(other Secret) bool {
	return subtle.ConstantTimeCompare([]byte(s.Reveal()), []byte(other.Reveal())) == 1
}

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// Format implements fmt.Formatter, so that no verb prints the value.
func (Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
