package logging

import (
	"fmt"
	"io"
	"log/slog"
)

const redacted = "[redacted]"

// Secret is a string that is never printed, logged or marshalled.
type Secret string

// String returns a placeholder.
func (Secret) String() string { return redacted }

// Format writes a placeholder for every verb.
func (Secret) Format(f fmt.State, _ rune) { _, _ = io.WriteString(f, redacted) }

// MarshalText returns a placeholder.
func (Secret) MarshalText() ([]byte, error) { return []byte(redacted), nil }

// LogValue returns a placeholder.
func (Secret) LogValue() slog.Value { return slog.StringValue(redacted) }

// Reveal returns the value itself.
func (s Secret) Reveal() string { return string(s) }
