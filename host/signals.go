package host

import (
	"context"
	"os"
	"os/signal"
	"syscall"
)

// catchSignals registers the signals that the platform sends for the rest of the process's life. The context that
// it returns ends with the first SIGTERM or SIGINT; the channel receives SIGHUP.
//
// They are never unregistered. The default action of each ends the process at once, also while it still answers
// callers after SIGTERM, or writes its last log lines. A later SIGTERM has no effect, as the time to stop is bounded.
func catchSignals(ctx context.Context) (context.Context, <-chan os.Signal) {
	hangUps := make(chan os.Signal, 1)
	signal.Notify(hangUps, syscall.SIGHUP)
	// Raised by a write to a standard output that nobody reads any more.
	signal.Ignore(syscall.SIGPIPE)
	ctx, _ = signal.NotifyContext(ctx, syscall.SIGTERM, os.Interrupt)
	return ctx, hangUps
}
