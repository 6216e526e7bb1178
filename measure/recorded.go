package measure

import (
	"bytes"
	"embed"
)

// recorded holds the committed traces, each made by Generate with seed 1.
//
//go:embed testdata/*.csv
var recorded embed.FS

// Recorded returns a committed trace by its name.
func Recorded(name string) (Trace, error) {
	data, err := recorded.ReadFile("testdata/" + name + ".csv")
	if err != nil {
		return Trace{}, err
	}
	return ReadTrace(name, bytes.NewReader(data))
}
