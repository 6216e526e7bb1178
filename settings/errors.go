package settings

import (
	"fmt"
	"strings"
)

// FieldError reports one bad field.
type FieldError struct {
	Section string
	Key     string // empty if the section itself is at fault
	Value   string // as written; never the value of a secret
	Allowed string // what is allowed, in words
}

// Error implements error.
func (e *FieldError) Error() string {
	if e.Key == "" {
		return fmt.Sprintf("[%s]: allowed is %s", e.Section, e.Allowed)
	}
	return fmt.Sprintf("[%s] %s = %q: allowed is %s", e.Section, e.Key, e.Value, e.Allowed)
}

// InvalidError collects every bad field of one file, in the order of the
// documented fields; unknown sections and keys come last.
type InvalidError struct {
	File   string
	Fields []*FieldError
}

// Error implements error. It has one line for each bad field.
func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Fields)+1)
	lines = append(lines, fmt.Sprintf("%s: %d bad field(s)", e.File, len(e.Fields)))
	for _, field := range e.Fields {
		lines = append(lines, "  "+field.Error())
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns the bad fields, for errors.As.
func (e *InvalidError) Unwrap() []error {
	errs := make([]error, len(e.Fields))
	for i, field := range e.Fields {
		errs[i] = field
	}
	return errs
}

// UnreadableError reports a file that cannot be opened or is no INI file.
type UnreadableError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *UnreadableError) Error() string { return fmt.Sprintf("%s: unreadable: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *UnreadableError) Unwrap() error { return e.Cause }
