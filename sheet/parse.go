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

// optional columns may be missing or blank.
var optional = []string{columnWeight, columnDrain, columnNote}

var kinds = []string{string(config.KindService), string(config.KindTeam), string(config.KindWorker)}

var columnsOf = map[string][]string{
	kinds[0]: {columnService, columnType, columnDeadline, columnIdempotent},
	kinds[1]: {columnTeam, columnQuota, columnWeight},
	kinds[2]: {columnWorker, columnServices, columnDrain},
}

// defaultWeight is the weight of a team whose cell is blank.
const defaultWeight = 1

// Parse reads a sheet. file names it in the faults. The configuration is nil
// when there are faults; its version is 0.
func Parse(file string, content []byte) (*config.Config, Faults) {
	rows, faults := readRows(file, content)
	p := &parser{file: file, config: &config.Config{}, faults: faults, rowsLost: len(faults) > 0, services: map[string]int{}}
	if len(rows) > 0 && p.header(rows[0]) {
		for _, r := range rows[1:] {
			p.row(r)
		}
		p.validate()
	} else if len(rows) == 0 && len(faults) == 0 {
		p.fault(0, "", "", "the sheet is empty")
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
	// at is the index of each column that the sheet has.
	at map[string]int
	// names holds the names of the columns in lower case.
	names []string
	// current is the row that is read.
	current row
	kind    string
	// rowsLost says that a row could not be read at all, so that names and kinds
	// may seem to be missing.
	rowsLost bool
	// services is the index of each service in the configuration.
	services map[string]int
	// The rows of the parts of the configuration, by their index.
	typeRows             [][]int
	teamRows, workerRows []int
}

func (p *parser) fault(row int, column, value, message string) {
	p.faults = append(p.faults, Fault{File: p.file, Row: row, Column: column, Value: value, Message: message})
}

func (p *parser) faultNear(row int, column, value, message string, known []string) {
	p.faults = append(p.faults, Fault{File: p.file, Row: row, Column: column, Value: value, Message: message, Nearest: nearest(value, known)})
}

// header reads the names of the columns and returns whether rows can be read.
func (p *parser) header(r row) bool {
	p.at = map[string]int{}
	var unknown []Fault
	for i, cell := range r.cells {
		name := strings.ToLower(cell)
		p.names = append(p.names, name)
		switch _, twice := p.at[name]; {
		case name == "":
		case twice:
			p.fault(r.number, name, "", "this column is there twice")
		case slices.Contains(columns, name):
			p.at[name] = i
		default:
			unknown = append(unknown, Fault{
				File: p.file, Row: r.number, Value: cell, Nearest: nearest(name, columns),
				Message: "is not a column; allowed are " + strings.Join(columns, ", "),
			})
		}
	}
	// The kind of a row without a header can be the name of a column.
	if len(p.at) < 2 {
		p.fault(r.number, "", "", "the first row must hold the names of the columns: "+strings.Join(columns, ", "))
		return false
	}
	p.faults = append(p.faults, unknown...)
	for _, name := range columns {
		_, ok := p.at[name]
		// A misspelt column is reported once, not as missing too.
		misspelt := slices.ContainsFunc(unknown, func(f Fault) bool { return f.Nearest == name })
		if !ok && !misspelt && !slices.Contains(optional, name) {
			p.fault(r.number, name, "", "this column is missing")
		}
	}
	_, ok := p.at[columnKind]
	return ok
}

// cell returns the value of a column and whether the sheet has the column.
func (p *parser) cell(column string) (string, bool) {
	i, ok := p.at[column]
	if !ok || i >= len(p.current.cells) {
		return "", ok
	}
	return p.current.cells[i], true
}

func (p *parser) row(r row) {
	p.current = r
	cell, _ := p.cell(columnKind)
	p.kind = strings.ToLower(cell)
	if columnsOf[p.kind] == nil {
		p.faultNear(r.number, columnKind, cell, "is not a kind of row; allowed are "+strings.Join(kinds, ", "), kinds)
		// A misspelt row is read as what it was meant to be, so that the names
		// in it do not count as missing.
		p.kind = nearest(cell, kinds)
	}
	if columnsOf[p.kind] == nil {
		p.rowsLost = true
		return
	}
	p.foreignCells(columnsOf[p.kind])
	switch config.Kind(p.kind) {
	case config.KindService:
		p.serviceRow()
	case config.KindTeam:
		p.team()
	case config.KindWorker:
		p.worker()
	}
}

// foreignCells reports cells that have no meaning in this kind of row, since a
// value in the wrong column is a value that is missing elsewhere.
func (p *parser) foreignCells(known []string) {
	for i, cell := range p.current.cells {
		name := ""
		if i < len(p.names) {
			name = p.names[i]
		}
		switch {
		case cell == "" || name == columnKind || name == columnNote || slices.Contains(known, name):
		case slices.Contains(columns, name):
			p.fault(p.current.number, name, cell, fmt.Sprintf("must be blank in a %s row; that has %s", p.kind, strings.Join(known, ", ")))
		case name == "":
			p.fault(p.current.number, "", cell, "stands in a column without a name")
		}
	}
}

func (p *parser) serviceRow() {
	name := p.text(columnService)
	i, ok := p.services[name]
	if !ok {
		i = len(p.config.Services)
		p.services[name] = i
		p.config.Services = append(p.config.Services, config.Service{Name: name})
		p.typeRows = append(p.typeRows, nil)
	}
	t := config.RequestType{
		Name:       p.text(columnType),
		DeadlineMS: p.number(columnDeadline, 1, config.MaxDeadlineMS, 1),
		Idempotent: p.yes(columnIdempotent),
	}
	p.config.Services[i].Types = append(p.config.Services[i].Types, t)
	p.typeRows[i] = append(p.typeRows[i], p.current.number)
}

func (p *parser) team() {
	p.config.Teams = append(p.config.Teams, config.Team{
		Name:   p.text(columnTeam),
		Quota:  int(p.number(columnQuota, 1, config.MaxQuota, 1)),
		Weight: int(p.number(columnWeight, 1, config.MaxWeight, defaultWeight)),
	})
	p.teamRows = append(p.teamRows, p.current.number)
}

func (p *parser) worker() {
	p.config.Workers = append(p.config.Workers, config.Worker{
		Name:     p.text(columnWorker),
		Services: strings.Fields(p.text(columnServices)),
		Drain:    p.yes(columnDrain),
	})
	p.workerRows = append(p.workerRows, p.current.number)
}

func (p *parser) text(column string) string {
	value, _ := p.cell(column)
	return value
}

// digits excludes signs and the separators that spreadsheet programs can add to
// numbers, whose meaning differs between countries.
var digits = regexp.MustCompile(`^[0-9]+$`)

// number reads a whole number. The range is checked by config.Validate; a cell
// that holds no number is reported here and replaced, so that it is not
// reported again.
func (p *parser) number(column string, low, high, replacement int64) int64 {
	value, ok := p.cell(column)
	if !ok || value == "" && slices.Contains(optional, column) {
		return replacement
	}
	n, err := strconv.ParseInt(value, 10, 64)
	if err == nil && digits.MatchString(value) {
		return n
	}
	message := fmt.Sprintf("is not a whole number; allowed is %d to %d, in digits without separators", low, high)
	if value == "" {
		message = fmt.Sprintf("is blank; allowed is %d to %d", low, high)
	}
	p.fault(p.current.number, column, value, message)
	return replacement
}

// yes reads a yes or no. Spreadsheet programs write TRUE and FALSE for boxes.
func (p *parser) yes(column string) bool {
	value, ok := p.cell(column)
	switch strings.ToLower(value) {
	case "yes", "true":
		return true
	case "no", "false":
		return false
	case "":
		if !ok || slices.Contains(optional, column) {
			return false
		}
		p.fault(p.current.number, column, "", "is blank; allowed are yes, no")
		return false
	}
	p.faultNear(p.current.number, column, value, "is not allowed; allowed are yes, no", []string{"yes", "no"})
	return false
}

// validate finds the rows of the faults of the configuration.
func (p *parser) validate() {
	for _, f := range p.config.Validate() {
		if _, ok := p.at[f.Field]; !ok {
			continue // the missing column is reported already
		}
		if p.rowsLost && (f.Index < 0 || f.Known != nil) {
			continue // what is missing may be in a row that was not read
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

var notInNames = regexp.MustCompile(`[^a-z0-9._-]+`)

// suggestName turns a value into a valid name: "De Pots" becomes "de-pots".
func suggestName(column, value string) string {
	if !slices.Contains([]string{columnService, columnType, columnTeam, columnWorker}, column) {
		return ""
	}
	name := strings.Trim(notInNames.ReplaceAllString(strings.ToLower(value), "-"), "-._")
	if !config.ValidName(name) {
		return ""
	}
	return name
}
