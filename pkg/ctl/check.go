package ctl

import (
	"io"

	"github.com/sesamemux/sesamemux/pkg/object"
)

// checkCommand validates files without a server.
type checkCommand struct {
	Files []string `arg:"" predictor:"file" help:"Files, each with a complete set of objects."`
}

// Help implements kong.HelpProvider.
func (*checkCommand) Help() string {
	return `Lists every error with file, line, object and field.

Examples:
  sesamectl check objects.ini
  sesamectl check -o json objects.ini`
}

// checkOutput describes one file without problems.
type checkOutput struct {
	File    string `json:"file"`
	Objects int    `json:"objects"`
}

// Run implements the command.
func (c *checkCommand) Run(s *session) error {
	var problems []object.Problem
	valid := []checkOutput{}
	for _, name := range c.Files {
		f, err := readSet(name)
		if err == nil {
			valid = append(valid, checkOutput{name, f.set.Len()})
			continue
		}
		failure, ok := err.(*Failure)
		if !ok || len(failure.Problems) == 0 {
			return err
		}
		problems = append(problems, failure.Problems...)
	}
	if len(problems) > 0 {
		return &Failure{Code: ExitRefused, Message: quantity(len(problems), "problem") + " in the objects", Problems: problems}
	}
	return s.print(valid, func(w io.Writer) {
		for _, g := range valid {
			printLine(w, "%s: %s valid", g.File, quantity(g.Objects, "object"))
		}
	})
}
