package main

import (
	"encoding/json"
	"io"
	"os"

	"github.com/rotisserie/eris"

	"github.com/sesamemux/sesamemux/pkg/load"
)

// standardOutput is the file name that stands for standard output.
const standardOutput = "-"

// write writes the report to the outputs that the flags name.
func (c *cli) write(r *load.Report) error {
	err := writeTo(c.JSON, func(w io.Writer) error {
		e := json.NewEncoder(w)
		e.SetIndent("", "  ")
		return e.Encode(r)
	})
	if err != nil || c.HTML == "" {
		return err
	}
	return writeTo(c.HTML, r.WriteHTML)
}

func writeTo(name string, write func(io.Writer) error) error {
	if name == standardOutput {
		return write(os.Stdout)
	}
	f, err := os.Create(name)
	if err != nil {
		return eris.Wrap(err, "create report")
	}
	if err := write(f); err != nil {
		_ = f.Close()
		return eris.Wrap(err, "write report "+name)
	}
	return eris.Wrap(f.Close(), "close report "+name)
}
