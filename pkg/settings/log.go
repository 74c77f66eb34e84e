package settings

import (
	"github.com/sesamemux/sesamemux/pkg/inifile"
	"github.com/sesamemux/sesamemux/pkg/logging"
)

func logLevel(p *logging.Level) inifile.Field {
	check := func(s string) error { return logging.Level(s).Check() }
	return inifile.Text("log_level", p, "debug, info, warn or error", check, "Minimum severity of log lines.")
}
