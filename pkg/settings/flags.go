package settings

import (
	"fmt"
	"io"
)

// Flags are the command line flags that every daemon has; kong reads them.
type Flags struct {
	Settings      string   `help:"Settings file in INI." type:"path" placeholder:"FILE"`
	Set           []string `help:"Set one key, before file and environment." sep:"none" placeholder:"KEY=VALUE"`
	CheckSettings bool     `help:"Check the settings, list every error and exit."`
	PrintSettings bool     `help:"Print the settings in force with the meaning of each key and exit."`
}

// Exit codes of Prepare.
const (
	ExitOK      = 0
	ExitRefused = 1 // the settings have problems
)

// Prepare loads settings as the flags say. When run is false the program
// should end with the exit code: the settings were printed or checked, or have
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
		_, _ = fmt.Fprintln(out, "settings are in order")
		return s, false, ExitOK
	}
	return s, true, ExitOK
}
