package settings

import (
	"os"

	"gopkg.in/ini.v1"
)

// Load reads and checks the file at path. It returns an *UnreadableError or an
// *InvalidError.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, &UnreadableError{File: path, Cause: err}
	}
	return Parse(path, data)
}

// Parse checks the text of a settings file; name stands for the file in
// errors. It returns an *UnreadableError or an *InvalidError.
func Parse(name string, data []byte) (Settings, error) {
	file, err := ReadINI(name, data)
	if err != nil {
		return Settings{}, err
	}
	p := &parser{file: file}
	p.run()
	if len(p.bad) > 0 {
		return Settings{}, &InvalidError{File: name, Fields: p.bad}
	}
	return p.out, nil
}

// ReadINI reads INI text the way every file of this project is read: a key
// that is given twice keeps all its values (see Value), and sections inherit
// nothing from each other. It returns an *UnreadableError.
func ReadINI(name string, data []byte) (*ini.File, error) {
	file, err := ini.LoadSources(loadOptions, data)
	if err != nil {
		return nil, &UnreadableError{File: name, Cause: err}
	}
	return file, nil
}

var loadOptions = ini.LoadOptions{
	AllowShadows:               true,
	AllowDuplicateShadowValues: true,
	PreserveEmptyShadowValues:  true,
	KeyValueDelimiters:         "=",
	ChildSectionDelimiter:      "\x00", // a "." in a section's name means nothing
	IgnoreContinuation:         true,
	SpaceBeforeInlineComment:   true,
	PreserveSurroundedQuote:    true,
}

// Value returns the last value of a key and how often the key is given.
func Value(file *ini.File, section, key string) (value string, count int) {
	if !file.HasSection(section) {
		return "", 0
	}
	s := file.Section(section)
	if !s.HasKey(key) {
		return "", 0
	}
	values := s.Key(key).ValueWithShadows()
	if len(values) == 0 {
		return "", 1
	}
	return values[len(values)-1], len(values)
}

// parser collects settings and bad fields of one file.
type parser struct {
	file *ini.File
	out  Settings
	bad  []*FieldError
}

// run reads every documented field, the two open sections, what must hold
// between fields, and last what is not documented.
func (p *parser) run() {
	for i := range fields {
		p.field(&fields[i])
	}
	p.operators()
	p.across()
	p.unknown()
}

// fail records a bad field.
func (p *parser) fail(section, key, value, allowed string) {
	p.bad = append(p.bad, &FieldError{Section: section, Key: key, Value: value, Allowed: allowed})
}

// field reads one documented field, or its default.
func (p *parser) field(f *field) {
	value, count := Value(p.file, f.section, f.key)
	shown := value
	if f.secret {
		shown = hidden
	}
	if count > 1 {
		p.fail(f.section, f.key, shown, "the key once")
		return
	}
	if value == "" {
		value = f.standard
	}
	if value == "" {
		if f.required {
			p.fail(f.section, f.key, "", f.allowed)
		}
		return
	}
	if !f.set(&p.out, value) {
		p.fail(f.section, f.key, shown, f.allowed)
	}
}

// hidden stands for the value of a secret in errors.
const hidden = "(hidden)"
