package settings

import (
	"fmt"
	"strings"
)

// redactedValue replaces the value of a secret.
const redactedValue = "[redacted]"

// Print formats settings as an INI file that Load reads. A comment above each key has
// its meaning, its allowed values and its environment variable.
func Print(p Program) string {
	var b strings.Builder
	fmt.Fprintf(&b, "[%s]\n", p.Section())
	for _, f := range p.Fields() {
		need := ""
		if f.Required {
			need = " Required."
		}
		fmt.Fprintf(&b, "\n# %s%s\n# Allowed: %s. Environment: %s%s\n", f.Doc, need, f.Allowed, EnvironmentPrefix(p), strings.ToUpper(f.Key))
		value := f.Get()
		if f.Secret && value != "" {
			value = redactedValue
		}
		fmt.Fprintf(&b, "%s\n", strings.TrimSpace(f.Key+" = "+value))
	}
	return b.String()
}
