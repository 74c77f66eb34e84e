package ctl

import (
	"errors"
	"fmt"

	"github.com/alecthomas/kong"
	"github.com/posener/complete"
	"github.com/willabides/kongplete"
)

// programName is the name of the program in its messages.
const programName = "sesamectl"

// notExited is the exit code while the parser has not ended the program.
const notExited = -1

// Run executes one command line and returns the exit code.
func Run(args []string, env Environment) ExitCode {
	env = env.withDefaults()
	var c cli
	parserExit := notExited
	exit := func(code int) {
		if parserExit == notExited {
			parserExit = code
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
	if parserExit != notExited {
		return ExitCode(parserExit)
	}
	command, err := parser.Parse(args)
	switch {
	case parserExit != notExited:
		return ExitCode(parserExit)
	case err != nil:
		_, _ = fmt.Fprintf(env.Stderr, "%s: %v\nrun %s --help\n", programName, err, programName)
		return ExitUsage
	}
	return run(command, &c, env)
}

// run executes a parsed command in a new session.
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
