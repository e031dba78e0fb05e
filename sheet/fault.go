package sheet

import (
	"cmp"
	"fmt"
	"slices"
	"strings"

	"github.com/agnivade/levenshtein"
)

// Fault is one error in a sheet.
type Fault struct {
	File string `json:"file"`
	// Row is the row number as spreadsheet programs show it, counted from 1. It
	// is 0 when the fault concerns the whole file.
	Row    int    `json:"row"`
	Column string `json:"column"`
	Value  string `json:"value"`
	// Message describes the fault and the allowed values.
	Message string `json:"message"`
	// Nearest is the valid value with the smallest edit distance to Value, or
	// empty when none is close.
	Nearest string `json:"nearest,omitempty"`
}

func (f Fault) Error() string {
	location := f.File
	if f.Row > 0 {
		location += fmt.Sprintf(": row %d", f.Row)
	}
	if f.Column != "" {
		location += ", column " + f.Column
	}
	message := location + ": "
	if f.Value != "" {
		message += fmt.Sprintf("%q ", f.Value)
	}
	message += f.Message
	if f.Nearest != "" {
		message += fmt.Sprintf("; did you mean %q?", f.Nearest)
	}
	return message
}

// Faults lists all faults of a sheet, sorted by row and column. It implements
// error.
type Faults []Fault

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

// nearest returns the known word with the smallest edit distance to word. Words
// that are too far away for a misspelling are left out: those with a distance of
// more than two edits and more than a third of the length of word, and those with
// a distance of at least their own length. If none is left, it returns an empty
// string.
func nearest(word string, known []string) string {
	word = strings.ToLower(strings.TrimSpace(word))
	best, bestDistance := "", max(2, len(word)/3)+1
	for _, k := range slices.Sorted(slices.Values(known)) {
		if d := levenshtein.ComputeDistance(word, k); d < bestDistance && d < len(k) {
			best, bestDistance = k, d
		}
	}
	return best
}
