package program

import (
	"context"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"github.com/sesamemux/sesamemux/pkg/settings"
)

// exitCodeFailed is the exit code of a daemon that failed.
const exitCodeFailed = 1

// settingsOf constrains the pointer type of T to settings that RunDaemon can load.
type settingsOf[T any] interface {
	*T
	settings.Program
}

// RunDaemon loads the settings and calls run until it returns or a signal cancels its context.
// If run fails, RunDaemon exits the process with exitCodeFailed. run must log the error that
// it returns.
func RunDaemon[T any, P settingsOf[T]](name, description string, run func(ctx context.Context, s T, logTo io.Writer) error) {
	var flags settings.Flags
	kong.Parse(&flags,
		kong.Name(name),
		kong.Description(description+" Settings come from an INI file, the environment and --set."),
		kong.UsageOnError(),
	)
	s, ready, exit := settings.Prepare[T, P](flags, os.Environ(), os.Stdout, os.Stderr)
	if !ready {
		os.Exit(exit)
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s, os.Stderr); err != nil {
		os.Exit(exitCodeFailed)
	}
}
