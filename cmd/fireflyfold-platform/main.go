// Command fireflyfold-platform runs a stand-in for the platform on loopback:
// log, host list, workers and a demo upstream, with fault injection on request.
package main

import (
	"context"
	"flag"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/fireflyfold/fireflyfold/ident"
	"github.com/fireflyfold/fireflyfold/ports"
	"github.com/fireflyfold/fireflyfold/standin"
)

// watchInterval is the time between two checks of whether the entry hosts accept
// connections.
const watchInterval = 500 * time.Millisecond

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "fireflyfold-platform:", err)
		os.Exit(1)
	}
}

// run serves until SIGINT or SIGTERM.
func run(args []string) error {
	flags := flag.NewFlagSet("fireflyfold-platform", flag.ExitOnError)
	name := flags.String("layout", "rosenau", "deployment to stand in for: rosenau or sabzkhata")
	listen := flags.String("listen", "127.0.0.1:7400", "address (IP and port) of the log and the host list")
	service := flags.Duration("service-time", 0, "service time of the demo upstream; 0 for the layout's")
	lag := flags.Duration("host-lag", 0, "lag of the host list; 0 for the layout's")
	workers := flags.Int("workers", 0, "workers in each zone; 0 for the layout's")
	var hosts hostFlag
	flags.Var(&hosts, "host", "entry host to list while it accepts connections, as zone/id=IP:port of its peer endpoint; may be repeated")
	rate := flags.Float64("append-rate", 0, "appends a second that the log accepts; 0 for the layout's")
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
	if *workers > 0 {
		for i := range layout.Zones {
			layout.Zones[i].Workers = *workers
		}
	}
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	p := standin.NewPlatform(layout, *listen)
	if err := p.Start(ctx); err != nil {
		return err
	}
	defer p.Close()
	printAddresses(p)
	p.Watch(ctx, hosts, watchInterval)
	return nil
}

// printAddresses prints the addresses that the stand-in listens on.
func printAddresses(p *standin.Platform) {
	fmt.Printf("platform %s: log, host list and faults on %s, %d workers\n", p.Layout.Name, p.Addr(), len(p.Workers))
	for _, zone := range p.Layout.Zones {
		fmt.Printf("zone %s reaches the log and the host list on %s\n", zone.Zone, p.ZoneAddr(zone.Zone))
	}
}

// hostFlag collects the entry hosts of a repeated -host flag.
type hostFlag []ports.HostEntry

// String implements flag.Value.
func (h *hostFlag) String() string { return fmt.Sprintf("%d hosts", len(*h)) }

// Set implements flag.Value. It returns a *hostFlagError for a malformed value.
func (h *hostFlag) Set(text string) error {
	name, addr, okAddr := strings.Cut(text, "=")
	zone, id, okZone := strings.Cut(name, "/")
	if !okAddr || !okZone || zone == "" || id == "" {
		return &hostFlagError{text: text}
	}
	if _, err := netip.ParseAddrPort(addr); err != nil {
		return &hostFlagError{text: text}
	}
	*h = append(*h, ports.HostEntry{Host: ident.HostID(id), Zone: ident.Zone(zone), Addr: addr})
	return nil
}

// hostFlagError reports a malformed value of the -host flag.
type hostFlagError struct{ text string }

// Error implements error.
func (e *hostFlagError) Error() string {
	return fmt.Sprintf("%q: want zone/id=IP:port, for example oberbayern-1/oberbayern-1-h1=127.0.0.1:7501", e.text)
}

// or returns v, or otherwise if v is zero.
func or[T time.Duration | float64](v, otherwise T) T {
	if v == 0 {
		return otherwise
	}
	return v
}
