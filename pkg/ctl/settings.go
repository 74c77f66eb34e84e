package ctl

import (
	"io"

	"github.com/sesamemux/sesamemux/pkg/settings"
)

// settingsCommand groups the commands about sesamectl's own settings.
type settingsCommand struct {
	Print settingsPrintCommand `cmd:"" help:"Print the effective settings with the meaning of each key."`
	Check settingsCheckCommand `cmd:"" help:"Validate the settings and list every error."`
}

// settingsPrintCommand prints settings.
type settingsPrintCommand struct{}

// Run implements the command.
func (*settingsPrintCommand) Run(s *session) error {
	_, err := io.WriteString(s.env.Stdout, settings.Print(&s.settings))
	return err
}

// settingsCheckCommand validates settings.
type settingsCheckCommand struct{}

// Run implements the command.
func (*settingsCheckCommand) Run(s *session) error {
	if len(s.problems) > 0 {
		return s.settingsFailure()
	}
	return s.print(struct{}{}, func(w io.Writer) { printLine(w, "settings are valid") })
}
