package ctl

// completionCommand prints a shell's line for completion.
type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh" help:"bash or zsh."`
}

// Help implements kong.HelpProvider.
func (*completionCommand) Help() string {
	return `Examples:
  sesamectl completion bash >> ~/.bashrc`
}

// Run implements the command. The shell calls the program itself to complete a
// line.
func (c *completionCommand) Run(s *session) error {
	if c.Shell == "zsh" {
		say(s.env.Stdout, "autoload -U +X bashcompinit && bashcompinit")
	}
	say(s.env.Stdout, "complete -C %s %s", programName, programName)
	return nil
}
