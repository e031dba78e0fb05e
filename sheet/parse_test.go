package sheet

import (
	"os"
	"reflect"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"pgregory.net/rapid"

	"github.com/sesamelift/sesamelift/config"
)

const smallSheet = `kind,service,type,deadline_ms,idempotent,team,quota,weight,worker,services,drain
service,dispatch,soot-load,1500,yes,,,,,,
service,dispatch,burn-off-booking,5000,no,,,,,,
team,,,,,depots,400,2,,,
worker,,,,,,,,abay-01,dispatch,no
worker,,,,,,,,abay-02,dispatch,no
`

// Guards against parsing a sheet differently when a spreadsheet program exports
// it with another encoding, delimiter, quoting or column order.
func TestEquivalentEncodings(t *testing.T) {
	want, faults := Parse("sheet.csv", []byte(smallSheet))
	qt.Assert(t, faults, qt.HasLen, 0)
	quoted := `"` + strings.ReplaceAll(strings.ReplaceAll(strings.TrimSpace(smallSheet), ",", `","`), "\n", "\"\n\"") + `"`
	for name, content := range map[string]string{
		"byte order mark":         "\xef\xbb\xbf" + smallSheet,
		"CRLF":                    strings.ReplaceAll(smallSheet, "\n", "\r\n"),
		"CR":                      strings.ReplaceAll(smallSheet, "\n", "\r"),
		"semicolon":               strings.ReplaceAll(smallSheet, ",", ";"),
		"quoted":                  quoted,
		"quoted, byte order mark": "\xef\xbb\xbf" + quoted,
		"blank rows":              ",,,,\n\n" + strings.ReplaceAll(smallSheet, "\n", "\n , \n\n"),
		"header in capitals":      strings.ToUpper(smallSheet[:strings.Index(smallSheet, "\n")]) + smallSheet[strings.Index(smallSheet, "\n"):],
		"check boxes, spaces":     strings.NewReplacer(",yes,", ",TRUE,", "dispatch,no", " dispatch ,FALSE", "service,dis", "Service,dis").Replace(smallSheet),
		"no last line end":        strings.TrimSpace(smallSheet),
		"trailing cells":          strings.ReplaceAll(smallSheet, "\n", ",,,\n"),
		"other column order, two-line cell": `note,worker,services,kind,quota,team,weight,service,idempotent,type,deadline_ms,drain
"a, ""note""
of two lines",,,service,,,,dispatch,yes,soot-load,1500,
,,,service,,,,dispatch,no,burn-off-booking,5000,
,,,team,400,depots,2,,,,,
,abay-01,dispatch,worker,,,,,,,,
,abay-02,dispatch,worker`,
	} {
		t.Run(name, func(t *testing.T) {
			got, faults := Parse("sheet.csv", []byte(content))
			qt.Assert(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))
			qt.Assert(t, got, qt.DeepEquals, want)
		})
	}
}

// Guards against accepting a malformed sheet, reporting a fault with the wrong
// row, and reporting further faults that only follow from the first one.
func TestMalformedSheets(t *testing.T) {
	for _, tc := range []struct {
		name     string
		old, new string
		want     []string
	}{
		{"misspelled service", "abay-01,dispatch", "abay-01,dispach",
			[]string{`sheet.csv: row 5, column services: "dispach" is not a service of this configuration; did you mean "dispatch"\?`}},
		{"misspelled kind", "team,,", "taem,,",
			[]string{`sheet.csv: row 4, column kind: "taem" is not a kind of row; allowed are service, team, worker; did you mean "team"\?`}},
		{"unknown kind", "team,,", "holiday,,",
			[]string{`sheet.csv: row 4, column kind: "holiday" is not a kind of row; allowed are service, team, worker`}},
		{"misspelled column", "quota", "qouta",
			[]string{`sheet.csv: row 1: "qouta" is not a column; allowed are kind, .*; did you mean "quota"\?`}},
		{"missing column", "idempotent,", "note,",
			[]string{`sheet.csv: row 1, column idempotent: this column is missing`}},
		{"column twice", "weight", "team",
			[]string{`sheet.csv: row 1, column team: this column appears twice`}},
		{"no header", smallSheet[:strings.Index(smallSheet, "\n")+1], "",
			[]string{`sheet.csv: row 1: the first row must hold the names of the columns: kind, .*`}},
		{"not a number", ",400,", ",4oo,",
			[]string{`sheet.csv: row 4, column quota: "4oo" is not a whole number; allowed is 1 to 1000000, in digits without separators`}},
		{"thousands separator", ",400,", `,"4,000",`,
			[]string{`sheet.csv: row 4, column quota: "4,000" is not a whole number; allowed is 1 to 1000000, in digits without separators`}},
		{"out of range", ",1500,", ",1500000,",
			[]string{`sheet.csv: row 2, column deadline_ms: "1500000" allowed is 1 to 240000`}},
		{"negative", ",400,", ",-400,",
			[]string{`sheet.csv: row 4, column quota: "-400" is not a whole number; allowed is 1 to 1000000, in digits without separators`}},
		{"blank where a choice is needed", "5000,no", "5000,",
			[]string{`sheet.csv: row 3, column idempotent: is blank; allowed are yes, no`}},
		{"misspelled yes", "1500,yes", "1500,yess",
			[]string{`sheet.csv: row 2, column idempotent: "yess" is not allowed; allowed are yes, no; did you mean "yes"\?`}},
		{"invalid name", "depots", "De Pots",
			[]string{`sheet.csv: row 4, column team: "De Pots" allowed is 1 to 63 of .*; did you mean "de-pots"\?`}},
		{"no name", "depots", "",
			[]string{`sheet.csv: row 4, column team: is blank; allowed is 1 to 63 of .*`}},
		{"no service", "abay-01,dispatch", "abay-01,",
			[]string{`sheet.csv: row 5, column services: is blank; at least one service is required`}},
		{"worker twice", "abay-02", "abay-01",
			[]string{`sheet.csv: row 6, column worker: "abay-01" is given twice`}},
		{"wrong column", "team,,", "team,dispatch,",
			[]string{`sheet.csv: row 4, column service: "dispatch" must be blank in a team row; that has team, quota, weight`}},
		{"one cell too many", "abay-02,dispatch,no", "abay-02,dispatch,no,,x",
			[]string{`sheet.csv: row 6: "x" is in a column without a name`}},
		{"quote", "depots", `de"pots`,
			[]string{`sheet.csv: row 4: a quote appears inside a cell that is not quoted; .*`}},
		{"quote not closed", "team,,", `"team,,`,
			[]string{`sheet.csv: row 4: a quoted cell is not closed properly; .*`}},
		{"several, after blank rows and a cell of two lines",
			"service,dispatch,burn-off-booking,5000,no,,,,,,\nteam,,,,,depots,400,2,,,\n",
			"\n,,\nservice,\"dis\npatch\",burn-off-booking,0,maybe,,,,,,\n\nteam,,,,,depots,,0,,,\n",
			[]string{
				`sheet.csv: row 5, column service: "dis\\npatch" allowed is .*; did you mean "dis-patch"\?`,
				`sheet.csv: row 5, column deadline_ms: "0" allowed is 1 to 240000`,
				`sheet.csv: row 5, column idempotent: "maybe" is not allowed; allowed are yes, no`,
				`sheet.csv: row 7, column quota: is blank; allowed is 1 to 1000000`,
				`sheet.csv: row 7, column weight: "0" allowed is 1 to 100`,
			}},
		{"nothing but a header", smallSheet[strings.Index(smallSheet, "\n"):], "",
			[]string{`sheet.csv, column kind: at least one service is required`, `.* at least one team is required`, `.* at least one worker is required`}},
		{"empty", smallSheet, "\n,,\n", []string{`sheet.csv: the sheet is empty`}},
		{"UTF-16", smallSheet, "\xff\xfek\x00", []string{`sheet.csv: the file is not plain text; export it as "CSV UTF-8"`}},
		{"too large", smallSheet, strings.Repeat("x", MaxBytes+1), []string{`sheet.csv: the file has more than 4 MiB.*`}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			c, faults := Parse("sheet.csv", []byte(strings.Replace(smallSheet, tc.old, tc.new, 1)))
			qt.Assert(t, c, qt.IsNil)
			qt.Assert(t, faults, qt.HasLen, len(tc.want), qt.Commentf("%v", faults))
			for i, want := range tc.want {
				qt.Check(t, faults[i], qt.ErrorMatches, want)
			}
		})
	}
}

// Guards against example sheets that are invalid or do not have the expected
// workers and request types.
func TestExamples(t *testing.T) {
	for _, name := range []string{"cleft", "abay"} {
		content, err := os.ReadFile("../examples/" + name + "/sheet.csv")
		qt.Assert(t, err, qt.IsNil)
		c, faults := Parse(name, content)
		qt.Assert(t, faults, qt.HasLen, 0, qt.Commentf("%v", faults))
		qt.Assert(t, c.Workers, qt.HasLen, 11)
		qt.Assert(t, c.Services[0].Types, qt.HasLen, 3)
		booking, ok := c.Services[0].Type("burn-off-booking")
		qt.Assert(t, ok && booking.Idempotent, qt.IsFalse)
	}
}

// Guards against output of Format that Parse does not read back, and against
// input that makes the parser panic or return neither a configuration nor
// faults.
func TestFormatAndParse(t *testing.T) {
	name := rapid.StringMatching(`[a-z0-9][a-z0-9._-]{0,8}`)
	rapid.Check(t, func(t *rapid.T) {
		c := &config.Config{}
		names := rapid.SliceOfNDistinct(name, 1, 4, rapid.ID[string]).Draw(t, "names")
		for _, n := range names {
			c.Services = append(c.Services, config.Service{Name: n, Types: []config.RequestType{
				{Name: n, DeadlineMS: rapid.Int64Range(1, config.MaxDeadlineMS).Draw(t, "deadline"), Idempotent: rapid.Bool().Draw(t, "idempotent")},
			}})
			c.Teams = append(c.Teams, config.Team{Name: n, Quota: rapid.IntRange(1, config.MaxQuota).Draw(t, "quota"), Weight: rapid.IntRange(1, config.MaxWeight).Draw(t, "weight")})
			c.Workers = append(c.Workers, config.Worker{Name: n, Services: names, Drain: rapid.Bool().Draw(t, "drain")})
		}
		got, faults := Parse("sheet.csv", Format(c))
		if len(faults) > 0 || !reflect.DeepEqual(got, c) {
			t.Fatalf("got %+v, %v, want %+v", got, faults, c)
		}
	})
	rapid.Check(t, func(t *rapid.T) {
		cells := rapid.SliceOf(rapid.SampledFrom([]string{",", "\n", `"`, "kind", "team", "service", "a", "0", "\r", ";", "\xff"})).Draw(t, "cells")
		header := smallSheet[:strings.Index(smallSheet, "\n")+1]
		c, faults := Parse("sheet.csv", []byte(header+strings.Join(cells, "")))
		if (c == nil) != (len(faults) > 0) {
			t.Fatalf("configuration %v, faults %v", c, faults)
		}
	})
}
