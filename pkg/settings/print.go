package settings

import (
	"fmt"
	"strings"
)

// hidden stands for the value of a secret.
const hidden = "[redacted]"

// Print writes settings as an INI file that Load reads, each key below its
// meaning, its range and the variable that goes before it.
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
			value = hidden
		}
		fmt.Fprintf(&b, "%s\n", strings.TrimSpace(f.Key+" = "+value))
	}
	return b.String()
}
