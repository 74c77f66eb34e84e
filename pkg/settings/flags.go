package settings

import (
	"fmt"
	"io"
)

// Flags are the command line flags of every daemon, parsed by kong.
type Flags struct {
	Settings      string   `help:"Settings file in INI." type:"path" placeholder:"FILE"`
	Set           []string `help:"Set one key; overrides file and environment." sep:"none" placeholder:"KEY=VALUE"`
	CheckSettings bool     `help:"Validate the settings, list every error and exit."`
	PrintSettings bool     `help:"Print the effective settings with the meaning of each key and exit."`
}

// Exit codes of Prepare.
const (
	ExitOK      = 0
	ExitRefused = 1 // the settings are invalid
)

// Prepare loads the settings and carries out the flags. If run is false, the program
// must end with the exit code: the settings were printed or validated, or have
// problems, which were written to errOut.
func Prepare[T any, P pointer[T]](f Flags, environ []string, out, errOut io.Writer) (s T, run bool, exit int) {
	s, problems := Load[T, P](f.Settings, environ, f.Set)
	if f.PrintSettings {
		_, _ = io.WriteString(out, Print(P(&s)))
	}
	for _, p := range problems {
		_, _ = fmt.Fprintln(errOut, p.Error())
	}
	switch {
	case f.PrintSettings && !f.CheckSettings:
		return s, false, ExitOK
	case len(problems) > 0:
		_, _ = fmt.Fprintf(errOut, "problems in the settings: %d; --print-settings explains each key\n", len(problems))
		return s, false, ExitRefused
	case f.CheckSettings:
		_, _ = fmt.Fprintln(out, "settings are valid")
		return s, false, ExitOK
	}
	return s, true, ExitOK
}
