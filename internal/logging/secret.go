package logging

import (
	"crypto/subtle"
	"fmt"
	"log/slog"
)

// redacted stands in for a secret.
const redacted = "[redacted]"

// Secret holds a key and shows it nowhere but through Reveal. The value is
// behind a pointer because fmt prints unexported fields of an enclosing struct
// without calling their methods.
type Secret struct{ value *string }

// NewSecret returns a secret of a value.
func NewSecret(value string) Secret { return Secret{&value} }

// Reveal returns the value.
func (s Secret) Reveal() string {
	if s.value == nil {
		return ""
	}
	return *s.value
}

// IsZero reports whether there is no value.
func (s Secret) IsZero() bool { return s.Reveal() == "" }

// Equal compares two secrets in a time that depends only on their lengths.
func (s Secret) Equal(o Secret) bool {
	return subtle.ConstantTimeCompare([]byte(s.Reveal()), []byte(o.Reveal())) == 1
}

// String implements fmt.Stringer.
func (Secret) String() string { return redacted }

// Format implements fmt.Formatter, so that no verb shows the value.
func (Secret) Format(f fmt.State, _ rune) { _, _ = f.Write([]byte(redacted)) }

// LogValue implements slog.LogValuer.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// MarshalText implements encoding.TextMarshaler.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }
