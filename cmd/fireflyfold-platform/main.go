// Command fireflyfold-platform runs a stand-in for the platform on loopback:
// log, host list, workers and a demo upstream, with faults on request.
package main

import (
	"context"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/fireflyfold/fireflyfold/standin"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "fireflyfold-platform:", err)
		os.Exit(1)
	}
}

// run serves until a signal comes.
func run(args []string) error {
	flags := flag.NewFlagSet("fireflyfold-platform", flag.ExitOnError)
	name := flags.String("layout", "rosenau", "deployment to stand in for: rosenau or sabzkhata")
	listen := flags.String("listen", "127.0.0.1:7400", "address (IP and port) of the log and the host list")
	service := flags.Duration("service-time", 0, "service time of the demo upstream; 0 for the layout's")
	lag := flags.Duration("host-lag", 0, "lag of the host list; 0 for the layout's")
	rate := flags.Float64("append-rate", 0, "appends a second that the log takes; 0 for the layout's")
	if err := flags.Parse(args); err != nil {
		return err
	}
	layout, err := standin.LayoutByName(*name)
	if err != nil {
		return err
	}
	layout.ServiceTime = or(*service, layout.ServiceTime)
	layout.HostLag = or(*lag, layout.HostLag)
	layout.Log.AppendRate = or(*rate, layout.Log.AppendRate)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := standin.NewPlatform(layout, *listen)
	if err := p.Start(ctx); err != nil {
		return err
	}
	defer p.Close()
	fmt.Printf("platform %s: log and host list on %s, %d workers\n", layout.Name, p.Addr(), len(p.Workers))
	<-ctx.Done()
	return nil
}

// or returns v, or otherwise if v is zero.
func or[T time.Duration | float64](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}
