package settings

import (
	"encoding/hex"
	"fmt"
	"slices"
	"strings"

	"gopkg.in/ini.v1"

	"github.com/fireflyfold/fireflyfold/ident"
)

// operators reads the open section of operators.
func (p *parser) operators() {
	if !p.file.HasSection(sectionOperators) {
		return
	}
	const allowed = "a name, then the SHA-256 of the operator's token as 64 hexadecimal digits, once"
	for _, key := range p.file.Section(sectionOperators).KeyStrings() {
		value, count := Value(p.file, sectionOperators, key)
		hash, err := hex.DecodeString(value)
		if count != 1 || err != nil || len(hash) != 32 || !ident.ValidName(key) {
			p.fail(sectionOperators, key, hidden, allowed)
			continue
		}
		p.out.Operators = append(p.out.Operators, Operator{Name: key, TokenHash: [32]byte(hash)})
	}
	slices.SortFunc(p.out.Operators, func(a, b Operator) int { return strings.Compare(a.Name, b.Name) })
}

// across checks what must hold between fields. A field that is bad by itself
// has been reported already and is left out here.
func (p *parser) across() {
	s := &p.out
	if p.good(sectionZones, "configured") && p.good(sectionHost, "zone") && !s.hasZone(s.Host.Zone) {
		p.fail(sectionHost, "zone", string(s.Host.Zone), "one of the zones in [zones] configured")
	}
	if s.Host.API.IsValid() && s.Host.API == s.Host.Peer {
		p.fail(sectionHost, "peer", s.Host.Peer.String(), "an address other than api")
	}
	if p.good(sectionLease, "ttl") && p.good(sectionLease, "task-ttl") && s.Lease.TaskTTL < 2*s.Lease.TTL {
		// A successor adopts running tasks only if they outlive the control
		// lease; with less the tasks would be stopped by the takeover.
		p.fail(sectionLease, "task-ttl", s.Lease.TaskTTL.String(), fmt.Sprintf("at least twice ttl, which is %v", s.Lease.TTL))
	}
	if p.good(sectionLimits, "max-body") && p.good(sectionLimits, "body-memory") && s.Limits.BodyMemory < s.Limits.MaxBody {
		p.fail(sectionLimits, "body-memory", fmt.Sprint(s.Limits.BodyMemory, "B"),
			fmt.Sprintf("at least max-body, which is %dB", s.Limits.MaxBody))
	}
	if (s.TLS.Certificate == "") != (s.TLS.Key == "") {
		p.fail(sectionTLS, "key", s.TLS.Key, "certificate and key together, or neither")
	}
}

// hasZone reports whether zone is configured.
func (s *Settings) hasZone(zone ident.Zone) bool {
	return slices.ContainsFunc(s.Zones, func(z Zone) bool { return z.Name == zone })
}

// good reports whether no error names the field yet.
func (p *parser) good(section, key string) bool {
	return !slices.ContainsFunc(p.bad, func(e *FieldError) bool { return e.Section == section && e.Key == key })
}

// unknown reports every section and key that is not documented.
func (p *parser) unknown() {
	for _, section := range p.file.Sections() {
		keys := documentedKeys(section.Name())
		switch {
		case section.Name() == sectionOperators:
			continue
		case section.Name() == ini.DefaultSection:
			p.outside(section)
		case len(keys) == 0:
			p.fail(section.Name(), "", "", "a known section: "+strings.Join(documentedSections(), ", "))
		default:
			p.unknownKeys(section, keys)
		}
	}
}

// outside reports keys before the first section.
func (p *parser) outside(section *ini.Section) {
	for _, key := range section.KeyStrings() {
		p.fail("", key, hidden, "no key outside of a section")
	}
}

// unknownKeys reports the keys of a section that are not in keys. Their values
// are hidden: a misspelt "secret" must not show its value.
func (p *parser) unknownKeys(section *ini.Section, keys []string) {
	for _, key := range section.KeyStrings() {
		if !slices.Contains(keys, key) {
			p.fail(section.Name(), key, hidden, "a known key: "+strings.Join(keys, ", "))
		}
	}
}

// documentedKeys lists the keys of a section in the order of the table.
func documentedKeys(section string) []string {
	var keys []string
	for i := range fields {
		if fields[i].section == section {
			keys = append(keys, fields[i].key)
		}
	}
	return keys
}

// documentedSections lists the sections in the order of the table.
func documentedSections() []string {
	var names []string
	for i := range fields {
		if !slices.Contains(names, fields[i].section) {
			names = append(names, fields[i].section)
		}
	}
	return append(names, sectionOperators)
}
