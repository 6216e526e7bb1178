package settings

// field is one documented key of the settings file.
type field struct {
	section, key string
	standard     string // value used when the key is missing or empty
	required     bool
	secret       bool   // the value is kept out of errors
	allowed      string // in words, for errors
	set          func(*Settings, string) bool
}

// Sections whose keys are listed in fields, and the open one.
const (
	sectionHost      = "host"
	sectionPlatform  = "platform"
	sectionZones     = "zones"
	sectionPeers     = "peers"
	sectionLease     = "lease"
	sectionLimits    = "limits"
	sectionConfig    = "config"
	sectionTelemetry = "telemetry"
	sectionTLS       = "tls"
	sectionPolicy    = "policy"
	sectionLog       = "log"
	sectionOperators = "operators" // any name = hash of that operator's token
)

// Descriptions of allowed values that several keys share.
const (
	allowedName      = "a name of 1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit"
	allowedAddr      = "an IP number with a port, such as 10.0.0.1:7000 or [fd00::1]:7000; host names are not resolved"
	allowedBool      = "yes or no"
	allowedPlacement = "pack or spread"
)

// fields documents every key outside the open section, in the order in which
// errors are reported.
var fields = []field{
	{section: sectionHost, key: "name", required: true, allowed: allowedName, set: setHostName},
	{section: sectionHost, key: "zone", required: true, allowed: allowedName, set: setHostZone},
	{section: sectionHost, key: "api", required: true, allowed: allowedAddr,
		set: addr(func(s *Settings) *addrPort { return &s.Host.API })},
	{section: sectionHost, key: "peer", required: true, allowed: allowedAddr,
		set: addr(func(s *Settings) *addrPort { return &s.Host.Peer })},

	{section: sectionPlatform, key: "log", required: true, allowed: allowedAddr,
		set: addr(func(s *Settings) *addrPort { return &s.Platform.Log })},
	{section: sectionPlatform, key: "hosts", required: true, allowed: allowedAddr,
		set: addr(func(s *Settings) *addrPort { return &s.Platform.Hosts })},
	{section: sectionPlatform, key: "list-lag", standard: "10s", allowed: "a duration from 100ms to 5m",
		set: duration(minListLag, maxListLag, func(s *Settings) *dur { return &s.Platform.ListLag })},

	{section: sectionZones, key: "configured", required: true,
		allowed: "zones separated by commas, each once, as zone or region/zone", set: setZones},

	{section: sectionPeers, key: "secret", required: true, secret: true,
		allowed: "a shared secret of at least 16 bytes, the same on every host", set: setSecret},
	{section: sectionPeers, key: "seeds",
		allowed: "peer addresses separated by commas, each an IP number with a port", set: setSeeds},

	{section: sectionLease, key: "ttl", standard: "3s", allowed: "a duration from 500ms to 60s",
		set: duration(minLeaseTTL, maxLeaseTTL, func(s *Settings) *dur { return &s.Lease.TTL })},
	{section: sectionLease, key: "task-ttl", standard: "12s", allowed: "a duration from 1s to 10m, at least twice ttl",
		set: duration(minTaskTTL, maxTaskTTL, func(s *Settings) *dur { return &s.Lease.TaskTTL })},
	{section: sectionLease, key: "drift", standard: "0.02", allowed: "a fraction from 0 to 0.2",
		set: fraction(0, maxDrift, func(s *Settings) *float64 { return &s.Lease.Drift })},

	{section: sectionLimits, key: "max-body", standard: "1MiB", allowed: "a size from 1KiB to 16MiB",
		set: size(kib, maxBody, func(s *Settings) *int64 { return &s.Limits.MaxBody })},
	{section: sectionLimits, key: "body-memory", standard: "32MiB", allowed: "a size from 1KiB to 1GiB, at least max-body",
		set: size(kib, gib, func(s *Settings) *int64 { return &s.Limits.BodyMemory })},
	{section: sectionLimits, key: "max-header", standard: "16KiB", allowed: "a size from 4KiB to 1MiB",
		set: size(minHeader, mib, func(s *Settings) *int64 { return &s.Limits.MaxHeader })},
	{section: sectionLimits, key: "max-connections", standard: "2000", allowed: "a whole number from 1 to 100000",
		set: count(1, maxConnections, func(s *Settings) *int { return &s.Limits.MaxConnections })},
	{section: sectionLimits, key: "max-waiting", standard: "1000", allowed: "a whole number from 1 to 100000",
		set: count(1, maxWaiting, func(s *Settings) *int { return &s.Limits.MaxWaiting })},
	{section: sectionLimits, key: "request-timeout", standard: "30s", allowed: "a duration from 10ms to 1h",
		set: duration(minTimeout, maxRequestTimeout, func(s *Settings) *dur { return &s.Limits.RequestTimeout })},
	{section: sectionLimits, key: "header-timeout", standard: "5s", allowed: "a duration from 10ms to 5m",
		set: duration(minTimeout, maxTimeout, func(s *Settings) *dur { return &s.Limits.HeaderTimeout })},
	{section: sectionLimits, key: "body-timeout", standard: "15s", allowed: "a duration from 10ms to 5m",
		set: duration(minTimeout, maxTimeout, func(s *Settings) *dur { return &s.Limits.BodyTimeout })},
	{section: sectionLimits, key: "idle-timeout", standard: "60s", allowed: "a duration from 10ms to 5m",
		set: duration(minTimeout, maxTimeout, func(s *Settings) *dur { return &s.Limits.IdleTimeout })},
	{section: sectionLimits, key: "drain-timeout", standard: "60s", allowed: "a duration from 10ms to 1h",
		set: duration(minTimeout, maxRequestTimeout, func(s *Settings) *dur { return &s.Limits.DrainTimeout })},

	{section: sectionConfig, key: "poll", standard: "1s", allowed: "a duration from 50ms to 5s",
		set: duration(minPoll, maxPoll, func(s *Settings) *dur { return &s.Config.Poll })},
	{section: sectionConfig, key: "max-age", standard: "0s", allowed: "0s to serve on for ever, or a duration from 5s to 24h",
		set: setMaxAge},
	{section: sectionConfig, key: "snapshot", standard: "1h", allowed: "a duration from 1m to 24h",
		set: duration(minSnapshot, maxSnapshot, func(s *Settings) *dur { return &s.Config.Snapshot })},

	{section: sectionTelemetry, key: "metrics", standard: "yes", allowed: allowedBool,
		set: flag(func(s *Settings) *bool { return &s.Telemetry.Metrics })},
	{section: sectionTelemetry, key: "otlp", allowed: "the http or https URL of an OTLP collector, with an IP number", set: setOTLP},
	{section: sectionTelemetry, key: "trace-file", allowed: "a path without control characters",
		set: path(func(s *Settings) *string { return &s.Telemetry.TraceFile })},
	{section: sectionTelemetry, key: "sample", standard: "0.01", allowed: "a fraction from 0 to 1",
		set: fraction(0, 1, func(s *Settings) *float64 { return &s.Telemetry.Sample })},

	{section: sectionTLS, key: "certificate", allowed: "a path without control characters",
		set: path(func(s *Settings) *string { return &s.TLS.Certificate })},
	{section: sectionTLS, key: "key", allowed: "a path without control characters",
		set: path(func(s *Settings) *string { return &s.TLS.Key })},

	{section: sectionPolicy, key: "batch", standard: "pack", allowed: allowedPlacement,
		set: placement(func(s *Settings) *Placement { return &s.Policy.Batch })},
	{section: sectionPolicy, key: "displace", standard: "yes", allowed: allowedBool,
		set: flag(func(s *Settings) *bool { return &s.Policy.Displace })},
	{section: sectionPolicy, key: "backfill", standard: "yes", allowed: allowedBool,
		set: flag(func(s *Settings) *bool { return &s.Policy.Backfill })},

	{section: sectionLog, key: "level", standard: "info", allowed: "error, warn, info or debug", set: setLevel},
}
