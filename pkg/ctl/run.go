package ctl

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

// programName is how the command line is called.
const programName = "sesamectl"

// stillRunning says that the parser did not end the program.
const stillRunning = -1

// Run carries out one command line and returns the exit code.
func Run(args []string, env Environment) ExitCode {
	env = env.withDefaults()
	var c cli
	ended := stillRunning
	exit := func(code int) {
		if ended == stillRunning {
			ended = code
		}
	}
	parser, err := kong.New(&c,
		kong.Name(programName),
		kong.Description(description),
		kong.Writers(env.Stdout, env.Stderr),
		kong.Exit(exit),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
	)
	if err != nil {
		_, _ = fmt.Fprintln(env.Stderr, err)
		return ExitUsage
	}
	kongplete.Complete(parser, kongplete.WithExitFunc(exit), kongplete.WithPredictor("file", complete.PredictFiles("*")))
	if ended != stillRunning {
		return ExitCode(ended)
	}
	command, err := parser.Parse(args)
	switch {
	case ended != stillRunning:
		return ExitCode(ended)
	case err != nil:
		_, _ = fmt.Fprintf(env.Stderr, "%s: %v\nrun %s --help\n", programName, err, programName)
		return ExitUsage
	}
	return run(command, &c, env)
}

// run opens a session for a command and closes it.
func run(command *kong.Context, c *cli, env Environment) ExitCode {
	s := newSession(c.globals, env)
	defer s.close()
	err := command.Run(s)
	if err == nil {
		return ExitOK
	}
	var f *Failure
	if !errors.As(err, &f) {
		f = &Failure{Code: ExitRefused, Message: err.Error()}
	}
	printFailure(env.Stderr, c.Output, f)
	return f.Code
}
