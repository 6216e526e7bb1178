package ident

// MaxNameLen is the maximum length of a name, in bytes.
const MaxNameLen = 63

// NameRule describes the names that ValidName accepts, for error messages.
const NameRule = "1 to 63 lower-case letters, digits and hyphens, starting with a letter or digit"

// ValidName reports whether text may name a zone, host, worker, team, service
// or key. The separators of the text forms of identifiers (".", "/", "~") are
// not allowed, because they would make parsing ambiguous.
func ValidName(text string) bool {
	if text == "" || len(text) > MaxNameLen || text[0] == '-' {
		return false
	}
	for i := 0; i < len(text); i++ {
		c := text[i]
		lower := c >= 'a' && c <= 'z'
		digit := c >= '0' && c <= '9'
		if !lower && !digit && c != '-' {
			return false
		}
	}
	return true
}
