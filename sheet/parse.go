package sheet

import (
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/sesamelift/sesamelift/config"
)

// Columns of the sheet, in the order in which Format writes them.
const (
	columnKind       = "kind"
	columnService    = "service"
	columnType       = "type"
	columnDeadline   = "deadline_ms"
	columnIdempotent = "idempotent"
	columnTeam       = "team"
	columnQuota      = "quota"
	columnWeight     = "weight"
	columnWorker     = "worker"
	columnServices   = "services"
	columnDrain      = "drain"
	columnNote       = "note"
)

var columns = []string{
	columnKind, columnService, columnType, columnDeadline, columnIdempotent, columnTeam,
	columnQuota, columnWeight, columnWorker, columnServices, columnDrain, columnNote,
}

// optionalColumns may be missing or blank.
var optionalColumns = []string{columnWeight, columnDrain, columnNote}

var rowKinds = []string{string(config.KindService), string(config.KindTeam), string(config.KindWorker)}

var columnsByKind = map[string][]string{
	rowKinds[0]: {columnService, columnType, columnDeadline, columnIdempotent},
	rowKinds[1]: {columnTeam, columnQuota, columnWeight},
	rowKinds[2]: {columnWorker, columnServices, columnDrain},
}

// defaultWeight is the weight of a team whose row gives none.
const defaultWeight = 1

// Parse reads a sheet. file is the file name shown in the faults. It returns
// either a configuration, with version 0, or all faults of the sheet.
func Parse(file string, content []byte) (*config.Config, Faults) {
	rows, faults := readRows(file, content)
	p := &parser{file: file, config: &config.Config{}, faults: faults, rowsSkipped: len(faults) > 0, serviceIndex: map[string]int{}}
	if len(rows) > 0 && p.parseHeader(rows[0]) {
		for _, r := range rows[1:] {
			p.parseRow(r)
		}
		p.validate()
	} else if len(rows) == 0 && len(faults) == 0 {
		p.addFault(0, "", "", "the sheet is empty")
	}
	p.faults.sort()
	if len(p.faults) > 0 {
		return nil, p.faults
	}
	return p.config, nil
}

type parser struct {
	file   string
	config *config.Config
	faults Faults
	// columnIndex maps each known column of the sheet to its position.
	columnIndex map[string]int
	// columnNames holds the header cells in lower case.
	columnNames []string
	// currentRow is the row being parsed, and kind its kind.
	currentRow row
	kind       string
	// rowsSkipped is set when a row could not be read or is of an unknown kind. A
	// service, team or worker that seems to be missing may be in that row.
	rowsSkipped bool
	// serviceIndex maps the name of each service to its index in the
	// configuration.
	serviceIndex map[string]int
	// The sheet row of each request type, team and worker, by its index in the
	// configuration.
	typeRows             [][]int
	teamRows, workerRows []int
}

func (p *parser) addFault(row int, column, value, message string) {
	p.faults = append(p.faults, Fault{File: p.file, Row: row, Column: column, Value: value, Message: message})
}

func (p *parser) addFaultWithSuggestion(row int, column, value, message string, known []string) {
	p.faults = append(p.faults, Fault{File: p.file, Row: row, Column: column, Value: value, Message: message, Nearest: nearest(value, known)})
}

// parseHeader reads the column names and returns whether rows can be parsed.
func (p *parser) parseHeader(r row) bool {
	p.columnIndex = map[string]int{}
	var unknown []Fault
	for i, cell := range r.cells {
		name := strings.ToLower(cell)
		p.columnNames = append(p.columnNames, name)
		switch _, duplicate := p.columnIndex[name]; {
		case name == "":
		case duplicate:
			p.addFault(r.number, name, "", "this column appears twice")
		case slices.Contains(columns, name):
			p.columnIndex[name] = i
		default:
			unknown = append(unknown, Fault{
				File: p.file, Row: r.number, Value: cell, Nearest: nearest(name, columns),
				Message: "is not a column; allowed are " + strings.Join(columns, ", "),
			})
		}
	}
	// One match does not make a header: the kind cell of an ordinary row matches a
	// column name, because service, team and worker are both kinds and columns.
	if len(p.columnIndex) < 2 {
		p.addFault(r.number, "", "", "the first row must hold the names of the columns: "+strings.Join(columns, ", "))
		return false
	}
	p.faults = append(p.faults, unknown...)
	for _, name := range columns {
		_, ok := p.columnIndex[name]
		// A column whose name is misspelled has been reported as unknown, so it is
		// not also reported as missing.
		misspelled := slices.ContainsFunc(unknown, func(f Fault) bool { return f.Nearest == name })
		if !ok && !misspelled && !slices.Contains(optionalColumns, name) {
			p.addFault(r.number, name, "", "this column is missing")
		}
	}
	_, ok := p.columnIndex[columnKind]
	return ok
}

// cell returns the value of a column in the current row and whether the sheet has
// the column.
func (p *parser) cell(column string) (string, bool) {
	i, ok := p.columnIndex[column]
	if !ok || i >= len(p.currentRow.cells) {
		return "", ok
	}
	return p.currentRow.cells[i], true
}

func (p *parser) parseRow(r row) {
	p.currentRow = r
	cell, _ := p.cell(columnKind)
	p.kind = strings.ToLower(cell)
	if columnsByKind[p.kind] == nil {
		p.addFaultWithSuggestion(r.number, columnKind, cell, "is not a kind of row; allowed are "+strings.Join(rowKinds, ", "), rowKinds)
		// A row with a misspelled kind is parsed as the nearest kind, so that the
		// names it defines are not reported as unknown elsewhere.
		p.kind = nearest(cell, rowKinds)
	}
	if columnsByKind[p.kind] == nil {
		p.rowsSkipped = true
		return
	}
	p.reportMisplacedCells(columnsByKind[p.kind])
	switch config.Kind(p.kind) {
	case config.KindService:
		p.parseServiceRow()
	case config.KindTeam:
		p.parseTeamRow()
	case config.KindWorker:
		p.parseWorkerRow()
	}
}

// reportMisplacedCells reports cells that this kind of row does not use, because a
// value in the wrong column is usually missing from the right one.
func (p *parser) reportMisplacedCells(allowed []string) {
	for i, cell := range p.currentRow.cells {
		name := ""
		if i < len(p.columnNames) {
			name = p.columnNames[i]
		}
		switch {
		case cell == "" || name == columnKind || name == columnNote || slices.Contains(allowed, name):
		case slices.Contains(columns, name):
			p.addFault(p.currentRow.number, name, cell, fmt.Sprintf("must be blank in a %s row; that has %s", p.kind, strings.Join(allowed, ", ")))
		case name == "":
			p.addFault(p.currentRow.number, "", cell, "is in a column without a name")
		}
	}
}

func (p *parser) parseServiceRow() {
	name := p.text(columnService)
	i, ok := p.serviceIndex[name]
	if !ok {
		i = len(p.config.Services)
		p.serviceIndex[name] = i
		p.config.Services = append(p.config.Services, config.Service{Name: name})
		p.typeRows = append(p.typeRows, nil)
	}
	t := config.RequestType{
		Name:       p.text(columnType),
		DeadlineMS: p.number(columnDeadline, 1, config.MaxDeadlineMS, 1),
		Idempotent: p.boolean(columnIdempotent),
	}
	p.config.Services[i].Types = append(p.config.Services[i].Types, t)
	p.typeRows[i] = append(p.typeRows[i], p.currentRow.number)
}

func (p *parser) parseTeamRow() {
	p.config.Teams = append(p.config.Teams, config.Team{
		Name:   p.text(columnTeam),
		Quota:  int(p.number(columnQuota, 1, config.MaxQuota, 1)),
		Weight: int(p.number(columnWeight, 1, config.MaxWeight, defaultWeight)),
	})
	p.teamRows = append(p.teamRows, p.currentRow.number)
}

func (p *parser) parseWorkerRow() {
	p.config.Workers = append(p.config.Workers, config.Worker{
		Name:     p.text(columnWorker),
		Services: strings.Fields(p.text(columnServices)),
		Drain:    p.boolean(columnDrain),
	})
	p.workerRows = append(p.workerRows, p.currentRow.number)
}

func (p *parser) text(column string) string {
	value, _ := p.cell(column)
	return value
}

// unsignedInteger matches digits only. It excludes signs, and the separators that
// spreadsheet programs can add to numbers and whose meaning depends on the locale.
var unsignedInteger = regexp.MustCompile(`^[0-9]+$`)

// number parses a whole number. config.Validate checks the range; low and high
// are only used in the message. A missing column or a blank optional cell gives
// replacement. Any other cell without a number is reported here and also gives
// replacement, so that config.Validate does not report it again.
func (p *parser) number(column string, low, high, replacement int64) int64 {
	value, ok := p.cell(column)
	if !ok || value == "" && slices.Contains(optionalColumns, column) {
		return replacement
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err == nil && unsignedInteger.MatchString(value) {
		return n
	}
	message := fmt.Sprintf("is not a whole number; allowed is %d to %d, in digits without separators", low, high)
	if value == "" {
		message = fmt.Sprintf("is blank; allowed is %d to %d", low, high)
	}
	p.addFault(p.currentRow.number, column, value, message)
	return replacement
}

// boolean parses yes or no. It also accepts TRUE and FALSE, the values that
// spreadsheet programs export for check boxes.
func (p *parser) boolean(column string) bool {
	value, ok := p.cell(column)
	switch strings.ToLower(value) {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	case "":
		if !ok || slices.Contains(optionalColumns, column) {
			return false
		}
		p.addFault(p.currentRow.number, column, "", "is blank; allowed are yes, no")
		return false
	}
	p.addFaultWithSuggestion(p.currentRow.number, column, value, "is not allowed; allowed are yes, no", []string{"yes", "no"})
	return false
}

// validate checks the configuration and adds its faults, each with its row in the
// sheet.
func (p *parser) validate() {
	for _, f := range p.config.Validate() {
		if _, ok := p.columnIndex[f.Field]; !ok {
			continue // the missing column has been reported
		}
		if p.rowsSkipped && (f.Index < 0 || f.Known != nil) {
			continue // the missing item may be in a skipped row
		}
		fault := Fault{File: p.file, Column: f.Field, Value: f.Value, Message: f.Message, Nearest: nearest(f.Value, f.Known)}
		if f.Value == "" && f.Index >= 0 {
			fault.Message = "is blank; " + f.Message
		}
		if fault.Nearest == "" && !config.ValidName(f.Value) {
			fault.Nearest = suggestName(f.Field, f.Value)
		}
		for _, number := range p.rowsOf(f) {
			fault.Row = number
			p.faults = append(p.faults, fault)
		}
	}
}

// rowsOf returns the sheet rows that a fault of the configuration concerns. A fault
// of a service concerns the rows of all its request types, and one of a whole list
// has row 0.
func (p *parser) rowsOf(f config.Fault) []int {
	switch {
	case f.Index < 0:
		return []int{0}
	case f.Kind == config.KindTeam:
		return p.teamRows[f.Index : f.Index+1]
	case f.Kind == config.KindWorker:
		return p.workerRows[f.Index : f.Index+1]
	case f.Type >= 0:
		return p.typeRows[f.Index][f.Type : f.Type+1]
	}
	return p.typeRows[f.Index]
}

var invalidNameChars = regexp.MustCompile(`[^a-z0-9._-]+`)

// suggestName converts a value of a name column to a valid name, such as "De Pots"
// to "de-pots". It returns an empty string for other columns and when there is no
// such name.
func suggestName(column, value string) string {
	if !slices.Contains([]string{columnService, columnType, columnTeam, columnWorker}, column) {
		return ""
	}
	name := strings.Trim(invalidNameChars.ReplaceAllString(strings.ToLower(value), "-"), "-._")
	if !config.ValidName(name) {
		return ""
	}
	return name
}
