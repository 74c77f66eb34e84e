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

// exitFailed is the exit code of a daemon that ended by an error.
const exitFailed = 1

// settingsOf lets Daemon load a T.
type settingsOf[T any] interface {
	*T
	settings.Program
}

// RunDaemon runs a daemon until it ends or is told to, and exits. run has logged
// the error that it returns.
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
		os.Exit(exitFailed)
	}
}
