package settings

import (
	"bytes"
	"fmt"
	"net/netip"
	"os"
	"reflect"
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/pkg/errors"
	"github.com/tailscale/hujson"
)

// minTokenLength keeps tokens from being guessed, in bytes.
const minTokenLength = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Fault is one thing wrong with a settings file.
type Fault struct {
	File string `json:"file"`
	// Line is 1 for the first line, 0 where no line is known.
	Line    int    `json:"line,omitempty"`
	Field   string `json:"field,omitempty"`
	Message string `json:"message"`
}

// Error implements error.
func (f Fault) Error() string {
	at := f.File
	if f.Line > 0 {
		at += ":" + strconv.Itoa(f.Line)
	}
	if f.Field == "" {
		return at + ": " + f.Message
	}
	return at + ": " + f.Field + ": " + f.Message
}

// FaultsError holds all faults of a file, one line each.
type FaultsError []Fault

// Error implements error.
func (e FaultsError) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Read fills the struct that v points to from a file. Missing fields take their
// defaults. The error is a FaultsError with every fault of the file.
func Read(file string, v any) error {
	b, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read settings")
	}
	return Parse(file, b, v)
}

// Parse is Read with the content of the file.
func Parse(file string, content []byte, v any) error {
	p := &parser{file: file, content: content}
	root, err := hujson.Parse(content)
	if err != nil {
		return FaultsError{{File: file, Line: lineOfSyntaxError(err), Message: err.Error()}}
	}
	p.object(root, reflect.ValueOf(v).Elem(), "")
	if len(p.faults) > 0 {
		slices.SortStableFunc(p.faults, func(a, b Fault) int { return a.Line - b.Line })
		return p.faults
	}
	return nil
}

var syntaxLine = regexp.MustCompile(`line (\d+)`)

func lineOfSyntaxError(err error) int {
	if m := syntaxLine.FindStringSubmatch(err.Error()); m != nil {
		n, _ := strconv.Atoi(m[1])
		return n
	}
	return 0
}

type parser struct {
	file    string
	content []byte
	faults  FaultsError
}

func (p *parser) fault(v hujson.Value, field, format string, args ...any) {
	line := 1 + bytes.Count(p.content[:v.StartOffset], []byte("\n"))
	p.faults = append(p.faults, Fault{p.file, line, field, fmt.Sprintf(format, args...)})
}

func (p *parser) object(v hujson.Value, dst reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fault(v, path, "expected an object")
		return
	}
	seen := map[string]hujson.Value{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := fieldByName(dst.Type(), name)
		switch {
		case !ok:
			p.fault(m.Name, join(path, name), "unknown field; known: %s", strings.Join(fieldNames(dst.Type()), ", "))
		case seen[name].Value != nil:
			p.fault(m.Name, join(path, name), "field is given twice")
		default:
			seen[name] = m.Value
			p.value(m.Value, dst.FieldByIndex(field.Index), field, join(path, name))
		}
	}
	p.missing(v, dst, seen, path)
}

// missing sets defaults and reports required fields that are not there.
func (p *parser) missing(v hujson.Value, dst reflect.Value, seen map[string]hujson.Value, path string) {
	for i := range dst.NumField() {
		f := dst.Type().Field(i)
		name := f.Tag.Get("json")
		if _, ok := seen[name]; ok {
			continue
		}
		switch def, ok := f.Tag.Lookup("default"); {
		case ok && f.Type.Kind() == reflect.Int:
			n, _ := strconv.Atoi(def)
			dst.Field(i).SetInt(int64(n))
		case ok:
			dst.Field(i).SetString(def)
		case f.Tag.Get("optional") != "":
		case f.Type.Kind() == reflect.Struct && allDefaulted(f.Type):
			p.missing(v, dst.Field(i), nil, join(path, name))
		default:
			p.fault(v, join(path, name), "field is missing")
		}
	}
}

func allDefaulted(t reflect.Type) bool {
	for i := range t.NumField() {
		f := t.Field(i)
		if _, ok := f.Tag.Lookup("default"); !ok && f.Tag.Get("optional") == "" {
			return false
		}
	}
	return true
}

func (p *parser) value(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	switch dst.Kind() {
	case reflect.Struct:
		p.object(v, dst, path)
	case reflect.Map:
		p.stringMap(v, dst, f, path)
	case reflect.Int:
		p.integer(v, dst, f, path)
	default:
		p.text(v, dst, f, path)
	}
}

func (p *parser) stringMap(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.fault(v, path, "expected an object of texts")
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		s := reflect.New(dst.Type().Elem()).Elem()
		p.text(m.Value, s, f, join(path, name))
		dst.SetMapIndex(reflect.ValueOf(name), s)
	}
}

func (p *parser) integer(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	lit, ok := v.Value.(hujson.Literal)
	n, err := strconv.ParseInt(strings.TrimSpace(string(lit)), 10, 64)
	if !ok || err != nil {
		p.fault(v, path, "expected a whole number")
		return
	}
	lo, _ := strconv.ParseInt(f.Tag.Get("min"), 10, 64)
	hi, _ := strconv.ParseInt(f.Tag.Get("max"), 10, 64)
	if n < lo || n > hi {
		p.fault(v, path, "%d is out of range, allowed is %d to %d", n, lo, hi)
		return
	}
	dst.SetInt(n)
}

func (p *parser) text(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		p.fault(v, path, "expected a text")
		return
	}
	s := lit.String()
	if msg := checkText(s, f); msg != "" {
		p.fault(v, path, "%s", msg)
		return
	}
	dst.SetString(s)
}

func checkText(s string, f reflect.StructField) string {
	if enum := f.Tag.Get("enum"); enum != "" {
		if !slices.Contains(strings.Split(enum, ","), s) {
			return fmt.Sprintf("%q is not allowed, allowed: %s", s, strings.ReplaceAll(enum, ",", ", "))
		}
		return ""
	}
	switch f.Tag.Get("kind") {
	case "address":
		return checkAddress(s)
	case "name":
		if !namePattern.MatchString(s) {
			return fmt.Sprintf("%q is not a name: lower case letters, digits, '.', '_' and '-', at most 63", s)
		}
	case "token":
		if len(s) < minTokenLength {
			return fmt.Sprintf("token has %d bytes, at least %d are required", len(s), minTokenLength)
		}
	default:
		if s == "" {
			return "text is empty"
		}
	}
	return ""
}

func checkAddress(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Sprintf("%q is not an IP number and port, such as 10.0.0.7:7400", s)
	}
	if a.Port() == 0 {
		return fmt.Sprintf("%q has port 0", s)
	}
	return ""
}

func fieldByName(t reflect.Type, name string) (reflect.StructField, bool) {
	for i := range t.NumField() {
		if t.Field(i).Tag.Get("json") == name {
			return t.Field(i), true
		}
	}
	return reflect.StructField{}, false
}

func fieldNames(t reflect.Type) []string {
	names := make([]string, t.NumField())
	for i := range names {
		names[i] = t.Field(i).Tag.Get("json")
	}
	return names
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
