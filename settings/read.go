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

// minTokenLength is the minimum length of a token, in bytes. Shorter tokens are too
// easy to guess.
const minTokenLength = 16

var namePattern = regexp.MustCompile(`^[a-z0-9][a-z0-9._-]{0,62}$`)

// Fault is one error in a settings file.
type Fault struct {
	File string `json:"file"`
	// Line counts from 1; 0 means that the line is unknown.
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

// FaultsError holds all faults of a file. Its message has one line for each.
type FaultsError []Fault

// Error implements error.
func (e FaultsError) Error() string {
	lines := make([]string, len(e))
	for i, f := range e {
		lines[i] = f.Error()
	}
	return strings.Join(lines, "\n")
}

// Checker is implemented by settings whose fields depend on each other. Check calls
// fault for each field that doesn't fit the others, with the path of the field, such as
// "entries[2].zone". Fields with a fault of their own, and those that are missing, have
// their zero value; further faults of them are ignored.
type Checker interface {
	Check(fault func(field, format string, args ...any))
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

// Parse is like Read for the given content; file is only used in messages.
func Parse(file string, content []byte, v any) error {
	p := &parser{file: file, content: content, values: map[string]hujson.Value{}}
	root, err := hujson.Parse(content)
	if err != nil {
		return FaultsError{{File: file, Line: lineOfSyntaxError(err), Message: err.Error()}}
	}
	p.parseObject(root, reflect.ValueOf(v).Elem(), "")
	if checker, ok := v.(Checker); ok {
		checker.Check(p.addFaultOf)
	}
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
	// values holds the values of the file by path.
	values map[string]hujson.Value
}

func (p *parser) addFault(v hujson.Value, field, format string, args ...any) {
	line := 1 + bytes.Count(p.content[:v.StartOffset], []byte("\n"))
	p.faults = append(p.faults, Fault{p.file, line, field, fmt.Sprintf(format, args...)})
}

// addFaultOf is addFault for the value at a path. It is ignored for a path that has a
// fault already, or that isn't in the file and whose parent has one.
func (p *parser) addFaultOf(path, format string, args ...any) {
	at := path
	for p.values[at].Value == nil && at != "" {
		at = at[:max(strings.LastIndexAny(at, ".["), 0)]
	}
	if slices.ContainsFunc(p.faults, func(f Fault) bool { return f.Field == path || f.Field == at && at != "" }) {
		return
	}
	p.addFault(p.values[at], path, format, args...)
}

func (p *parser) parseObject(v hujson.Value, dst reflect.Value, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addFault(v, path, "expected an object")
		return
	}
	seen := map[string]hujson.Value{}
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		field, ok := fieldByName(dst.Type(), name)
		switch {
		case !ok:
			p.addFault(m.Name, join(path, name), "unknown field; known: %s", strings.Join(fieldNames(dst.Type()), ", "))
		case seen[name].Value != nil:
			p.addFault(m.Name, join(path, name), "field is given twice")
		default:
			seen[name] = m.Value
			p.parseValue(m.Value, dst.FieldByIndex(field.Index), field, join(path, name))
		}
	}
	p.applyDefaults(v, dst, seen, path)
}

// applyDefaults sets the defaults of fields that are not in seen and reports
// required fields that are missing.
func (p *parser) applyDefaults(v hujson.Value, dst reflect.Value, seen map[string]hujson.Value, path string) {
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
		case ok && f.Type.Kind() == reflect.Float64:
			x, _ := strconv.ParseFloat(def, 64)
			dst.Field(i).SetFloat(x)
		case ok:
			dst.Field(i).SetString(def)
		case f.Tag.Get("optional") != "":
		case f.Type.Kind() == reflect.Struct && allDefaulted(f.Type):
			p.applyDefaults(v, dst.Field(i), nil, join(path, name))
		default:
			p.addFault(v, join(path, name), "field is missing")
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

func (p *parser) parseValue(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	p.values[path] = v
	switch dst.Kind() {
	case reflect.Slice:
		p.parseSlice(v, dst, f, path)
	case reflect.Float64:
		p.parseNumber(v, dst, f, path)
	case reflect.Struct:
		p.parseObject(v, dst, path)
	case reflect.Map:
		p.parseStringMap(v, dst, f, path)
	case reflect.Int:
		p.parseInteger(v, dst, f, path)
	default:
		p.parseString(v, dst, f, path)
	}
}

func (p *parser) parseSlice(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	array, ok := v.Value.(*hujson.Array)
	if !ok {
		p.addFault(v, path, "expected a list")
		return
	}
	if len(array.Elements) == 0 {
		p.addFault(v, path, "the list is empty")
	}
	dst.Set(reflect.MakeSlice(dst.Type(), len(array.Elements), len(array.Elements)))
	for i, element := range array.Elements {
		p.parseValue(element, dst.Index(i), f, path+"["+strconv.Itoa(i)+"]")
	}
}

// parseNumber parses a number that need not be whole. The tags min and max limit it.
func (p *parser) parseNumber(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	lit, ok := v.Value.(hujson.Literal)
	x, err := strconv.ParseFloat(strings.TrimSpace(string(lit)), 64)
	if !ok || lit.Kind() != '0' || err != nil {
		p.addFault(v, path, "expected a number")
		return
	}
	lo, _ := strconv.ParseFloat(f.Tag.Get("min"), 64)
	hi, _ := strconv.ParseFloat(f.Tag.Get("max"), 64)
	if !(x >= lo && x <= hi) {
		p.addFault(v, path, "%v is out of range, allowed is %v to %v", x, lo, hi)
		return
	}
	dst.SetFloat(x)
}

func (p *parser) parseStringMap(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		p.addFault(v, path, "expected an object with string values")
		return
	}
	dst.Set(reflect.MakeMap(dst.Type()))
	for _, m := range obj.Members {
		name := m.Name.Value.(hujson.Literal).String()
		s := reflect.New(dst.Type().Elem()).Elem()
		p.parseString(m.Value, s, f, join(path, name))
		dst.SetMapIndex(reflect.ValueOf(name), s)
	}
}

func (p *parser) parseInteger(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	lit, ok := v.Value.(hujson.Literal)
	n, err := strconv.ParseInt(strings.TrimSpace(string(lit)), 10, 64)
	if !ok || err != nil {
		p.addFault(v, path, "expected an integer")
		return
	}
	lo, _ := strconv.ParseInt(f.Tag.Get("min"), 10, 64)
	hi, _ := strconv.ParseInt(f.Tag.Get("max"), 10, 64)
	if n < lo || n > hi {
		p.addFault(v, path, "%d is out of range, allowed is %d to %d", n, lo, hi)
		return
	}
	dst.SetInt(n)
}

func (p *parser) parseString(v hujson.Value, dst reflect.Value, f reflect.StructField, path string) {
	lit, ok := v.Value.(hujson.Literal)
	if !ok || lit.Kind() != '"' {
		p.addFault(v, path, "expected a string")
		return
	}
	s := lit.String()
	if msg := checkString(s, f); msg != "" {
		p.addFault(v, path, "%s", msg)
		return
	}
	dst.SetString(s)
}

func checkString(s string, f reflect.StructField) string {
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
			return "string is empty"
		}
	}
	return ""
}

func checkAddress(s string) string {
	a, err := netip.ParseAddrPort(s)
	if err != nil {
		return fmt.Sprintf("%q is not an IP address and port, such as 10.0.0.7:7400", s)
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
