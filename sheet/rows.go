package sheet

import (
	"bytes"
	"encoding/csv"
	"io"
	"strings"

	"github.com/pkg/errors"
)

// MaxBytes is the maximum size of a sheet, in bytes. A sheet with 890 workers
// takes about 50 KB.
const MaxBytes = 4 << 20

// row is a row that is not blank. number is the row number that spreadsheet
// programs show.
type row struct {
	number int
	cells  []string
}

var utf8BOM = []byte("\xef\xbb\xbf")

// readRows splits the content into rows. A row that cannot be read is added to
// the faults, and reading continues with the next one.
func readRows(file string, content []byte) ([]row, Faults) {
	switch {
	case len(content) > MaxBytes:
		return nil, Faults{{File: file, Message: "the file has more than 4 MiB, the maximum size of a sheet"}}
	case bytes.HasPrefix(content, []byte("\xff\xfe")) || bytes.HasPrefix(content, []byte("\xfe\xff")) || bytes.IndexByte(content, 0) >= 0:
		return nil, Faults{{File: file, Message: `the file is not plain text; export it as "CSV UTF-8"`}}
	}
	content = bytes.TrimPrefix(content, utf8BOM)
	content = bytes.ReplaceAll(content, []byte("\r\n"), []byte("\n"))
	content = bytes.ReplaceAll(content, []byte("\r"), []byte("\n"))
	r := csv.NewReader(bytes.NewReader(content))
	r.Comma, r.FieldsPerRecord = delimiter(content), -1
	var rows []row
	var faults Faults
	// Line breaks inside quoted cells count as lines, but not as rows.
	quotedLineBreaks := 0
	for {
		cells, err := r.Read()
		var syntax *csv.ParseError
		switch {
		case errors.Is(err, io.EOF):
			return rows, faults
		case errors.As(err, &syntax):
			faults = append(faults, Fault{File: file, Row: syntax.StartLine - quotedLineBreaks, Message: quoteErrorMessage(syntax)})
			quotedLineBreaks += syntax.Line - syntax.StartLine
			continue
		case err != nil:
			return rows, append(faults, Fault{File: file, Message: err.Error()})
		}
		line, _ := r.FieldPos(0)
		number := line - quotedLineBreaks
		blank := true
		for i := range cells {
			quotedLineBreaks += strings.Count(cells[i], "\n")
			cells[i] = strings.TrimSpace(cells[i])
			blank = blank && cells[i] == ""
		}
		if !blank {
			rows = append(rows, row{number: number, cells: cells})
		}
	}
}

func quoteErrorMessage(e *csv.ParseError) string {
	if errors.Is(e.Err, csv.ErrQuote) {
		return `a quoted cell is not closed properly; a quote inside a cell is written ""`
	}
	return `a quote appears inside a cell that is not quoted; put the cell in quotes and write "" for the quote`
}

// delimiter returns the comma or the semicolon, whichever is more frequent in
// the first line that is not blank. Spreadsheet programs use the semicolon
// where the comma is the decimal mark.
func delimiter(content []byte) rune {
	for line := range bytes.Lines(content) {
		if len(bytes.Trim(line, " \t\n,;\"")) == 0 {
			continue
		}
		if bytes.Count(line, []byte(";")) > bytes.Count(line, []byte(",")) {
			return ';'
		}
		break
	}
	return ','
}
