package entry

import (
	"github.com/fireflyfold/fireflyfold/ports"
)

// WithPlatform fills in the platform's services over HTTP, at the addresses
// that the settings name. It is the one place that chooses the adapters.
func WithPlatform(opts Options) Options {
	client := ports.NewHTTPClient()
	s := opts.Settings.Platform
	opts.Log = ports.NewHTTPLog(s.Log.String(), client)
	opts.HostList = ports.NewHTTPHostList(s.Hosts.String(), client)
	opts.Workers = ports.NewHTTPWorkers(client)
	return opts
}
