package settings

import (
	"math"
	"net/netip"
	"net/url"
	"strconv"
	"strings"
	"time"
	"unicode"

	"github.com/fireflyfold/fireflyfold/ident"
)

// Bounds of the documented keys.
const (
	// MinSecretLen is the least length of the peers' shared secret, in bytes.
	MinSecretLen = 16

	kib = int64(1) << 10 // bytes
	mib = int64(1) << 20 // bytes
	gib = int64(1) << 30 // bytes

	maxBody   = 16 * mib
	minHeader = 4 * kib

	maxConnections = 100_000
	maxWaiting     = 100_000

	minLeaseTTL       = 500 * time.Millisecond
	maxLeaseTTL       = time.Minute
	minTaskTTL        = time.Second
	maxTaskTTL        = 10 * time.Minute
	minTimeout        = 10 * time.Millisecond
	maxTimeout        = 5 * time.Minute
	maxRequestTimeout = time.Hour
	minPoll           = 50 * time.Millisecond
	minListLag        = 100 * time.Millisecond
	maxListLag        = 5 * time.Minute
	maxPoll           = 5 * time.Second // a change must be in force within 9 s
	minSnapshot       = time.Minute
	maxSnapshot       = 24 * time.Hour
	minMaxAge         = 5 * time.Second
	maxMaxAge         = 24 * time.Hour

	maxDrift = 0.2 // fraction
)

// Short names that keep the table of fields readable.
type (
	addrPort = netip.AddrPort
	dur      = time.Duration
	setter   = func(*Settings, string) bool
)

// addr sets an IP address with a port.
func addr(at func(*Settings) *addrPort) setter {
	return func(s *Settings, value string) bool {
		parsed, ok := parseAddr(value)
		if ok {
			*at(s) = parsed
		}
		return ok
	}
}

// parseAddr parses an IP address with a port above zero.
func parseAddr(value string) (netip.AddrPort, bool) {
	parsed, err := netip.ParseAddrPort(value)
	return parsed, err == nil && parsed.Port() != 0
}

// duration sets a duration with its unit, between two bounds.
func duration(least, most time.Duration, at func(*Settings) *dur) setter {
	return func(s *Settings, value string) bool {
		parsed, err := time.ParseDuration(value)
		if err != nil || parsed < least || parsed > most {
			return false
		}
		*at(s) = parsed
		return true
	}
}

// fraction sets a number between two bounds.
func fraction(least, most float64, at func(*Settings) *float64) setter {
	return func(s *Settings, value string) bool {
		parsed, err := strconv.ParseFloat(value, 64)
		if err != nil || math.IsNaN(parsed) || parsed < least || parsed > most {
			return false
		}
		*at(s) = parsed
		return true
	}
}

// count sets a whole number between two bounds.
func count(least, most int, at func(*Settings) *int) setter {
	return func(s *Settings, value string) bool {
		parsed, err := strconv.Atoi(value)
		if err != nil || parsed < least || parsed > most {
			return false
		}
		*at(s) = parsed
		return true
	}
}

// sizeUnits are the units of sizes; "B" stays last because it ends the others.
var sizeUnits = []struct {
	suffix string
	bytes  int64
}{{"KiB", kib}, {"MiB", mib}, {"GiB", gib}, {"B", 1}}

// size sets a whole number of bytes with its unit, between two bounds.
func size(least, most int64, at func(*Settings) *int64) setter {
	return func(s *Settings, value string) bool {
		parsed, ok := ParseSize(value)
		if !ok || parsed < least || parsed > most {
			return false
		}
		*at(s) = parsed
		return true
	}
}

// ParseSize parses a whole number of bytes, followed by B, KiB, MiB or GiB.
func ParseSize(value string) (int64, bool) {
	for _, unit := range sizeUnits {
		digits, found := strings.CutSuffix(value, unit.suffix)
		if !found {
			continue
		}
		n, err := strconv.ParseInt(strings.TrimSpace(digits), 10, 64)
		if err != nil || n < 0 || n > math.MaxInt64/unit.bytes {
			return 0, false
		}
		return n * unit.bytes, true
	}
	return 0, false
}

// ParseMiB parses a size that is a whole number of MiB, such as 512MiB or 4GiB,
// and returns that number.
func ParseMiB(value string) (int64, bool) {
	bytes, ok := ParseSize(value)
	return bytes / mib, ok && bytes%mib == 0
}

// flag sets a yes or a no.
func flag(at func(*Settings) *bool) setter {
	return func(s *Settings, value string) bool {
		switch value {
		case "yes":
			*at(s) = true
		case "no":
			*at(s) = false
		default:
			return false
		}
		return true
	}
}

// path sets a file path.
func path(at func(*Settings) *string) setter {
	return func(s *Settings, value string) bool {
		if strings.ContainsFunc(value, unicode.IsControl) {
			return false
		}
		*at(s) = value
		return true
	}
}

// placement sets a placement policy.
func placement(at func(*Settings) *Placement) setter {
	return func(s *Settings, value string) bool {
		switch p := Placement(value); p {
		case PlacementSpread, PlacementPack:
			*at(s) = p
			return true
		}
		return false
	}
}

func setHostName(s *Settings, value string) bool {
	s.Host.Name = ident.HostID(value)
	return ident.ValidName(value)
}

func setHostZone(s *Settings, value string) bool {
	s.Host.Zone = ident.Zone(value)
	return ident.ValidName(value)
}

func setZones(s *Settings, value string) bool {
	seen := make(map[string]bool)
	for _, item := range strings.Split(value, ",") {
		region, zone, found := strings.Cut(strings.TrimSpace(item), "/")
		if !found {
			region, zone = "", region
		}
		if !ident.ValidName(zone) || seen[zone] || (found && !ident.ValidName(region)) {
			return false
		}
		seen[zone] = true
		s.Zones = append(s.Zones, Zone{Name: ident.Zone(zone), Region: region})
	}
	return true
}

func setSecret(s *Settings, value string) bool {
	s.Peers.Secret = []byte(value)
	return len(value) >= MinSecretLen
}

func setSeeds(s *Settings, value string) bool {
	for _, item := range strings.Split(value, ",") {
		seed, ok := parseAddr(strings.TrimSpace(item))
		if !ok {
			return false
		}
		s.Peers.Seeds = append(s.Peers.Seeds, seed)
	}
	return true
}

func setMaxAge(s *Settings, value string) bool {
	parsed, err := time.ParseDuration(value)
	if err != nil {
		return false
	}
	s.Config.MaxAge = parsed
	return parsed == 0 || (parsed >= minMaxAge && parsed <= maxMaxAge)
}

func setOTLP(s *Settings, value string) bool {
	parsed, err := url.Parse(value)
	if err != nil || (parsed.Scheme != "http" && parsed.Scheme != "https") {
		return false
	}
	if _, ok := parseAddr(parsed.Host); !ok {
		return false
	}
	s.Telemetry.OTLP = value
	return true
}

func setLevel(s *Settings, value string) bool {
	switch value {
	case "error", "warn", "info", "debug":
		s.Log.Level = value
		return true
	}
	return false
}
