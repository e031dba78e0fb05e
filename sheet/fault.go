package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fault is one thing wrong with a sheet.
type Fault struct {
	File string `json:"file"`
	// Row is the row as the spreadsheet program numbers it, beginning with 1; 0
	// when the fault is of the whole file.
	Row    int    `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	// Message says what is wrong and what is allowed.
	Message string `json:"message"`
	// Nearest is the valid word that is most like the value, if any is.
	Nearest string `json:"nearest,omitempty"`
}

// Error implements error.
func (f Fault) Error() string {
	at := f.File
	if f.Row > 0 {
		at += fmt.Sprintf(": row %d", f.Row)
	}
	if f.Column != "" {
		at += ", column " + f.Column
	}
	message := at + ": "
	if f.Value != "" {
		message += fmt.Sprintf("%q ", f.Value)
	}
	message += f.Message
	if f.Nearest != "" {
		message += fmt.Sprintf("; did you mean %q?", f.Nearest)
	}
	return message
}

// Faults holds all faults of a sheet in the order of rows. It implements error.
type Faults []Fault

// Error implements error.
func (f Faults) Error() string {
	lines := make([]string, len(f))
	for i := range f {
		lines[i] = f[i].Error()
	}
	return strings.Join(lines, "\n")
}

func (f Faults) sort() {
	slices.SortStableFunc(f, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.Row, b.Row), cmp.Compare(slices.Index(columns, a.Column), slices.Index(columns, b.Column)))
	})
}

// nearest returns the known word that takes the fewest edits from word, or an
// empty text when all are too far to be what was meant: more than a third of
// the word, and more than two edits.
func nearest(word string, known []string) string {
	word = strings.ToLower(strings.TrimSpace(word))
	best, fewest := "", max(2, len(word)/3)+1
	for _, k := range slices.Sorted(slices.Values(known)) {
		if d := levenshtein.ComputeDistance(word, k); d < fewest && d < len(k) {
			best, fewest = k, d
		}
	}
	return best
}
