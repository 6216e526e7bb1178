package entry

import (
	"github.com/fireflyfold/fireflyfold/platform"
)

// WithPlatform fills in the platform's services over HTTP, at the addresses
// that the settings name. It is the one place that chooses the adapters.
func WithPlatform(opts Options) Options {
	client := platform.NewHTTPClient()
	s := opts.Settings.Platform
	opts.Log = platform.NewHTTPLog(s.Log.String(), client)
	opts.HostList = platform.NewHTTPHostList(s.Hosts.String(), client)
	opts.Workers = platform.NewHTTPWorkers(client)
	return opts
}
