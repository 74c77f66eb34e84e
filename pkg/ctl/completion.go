package ctl

// completionCommand prints the shell commands that enable completion.
type completionCommand struct {
	Shell string `arg:"" enum:"bash,zsh" help:"bash or zsh."`
}

// Help implements kong.HelpProvider.
func (*completionCommand) Help() string {
	return `Examples:
  sesamectl completion bash >> ~/.bashrc`
}

// Run implements the command. The shell runs the program itself to complete a line.
func (c *completionCommand) Run(s *session) error {
	if c.Shell == "zsh" {
		printLine(s.env.Stdout, "autoload -U +X bashcompinit && bashcompinit")
	}
	printLine(s.env.Stdout, "complete -C %s %s", programName, programName)
	return nil
}
