package cli

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"

	"github.com/sesamelift/sesamelift/admission"
	"github.com/sesamelift/sesamelift/api"
	"github.com/sesamelift/sesamelift/dispatch"
	"github.com/sesamelift/sesamelift/ingress"
	"github.com/sesamelift/sesamelift/placement"
	"github.com/sesamelift/sesamelift/platform"
)

// explainingEntry starts a server that answers every request with status and answer, and
// returns its address.
func explainingEntry(t *testing.T, status int, answer any) string {
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		qt.Check(t, r.Method+" "+r.URL.String(), qt.Equals, "POST /v1/explain?host=jobs.example&path=%2Fjobs%2F")
		qt.Check(t, r.Header.Get("Deadline-Ms"), qt.Equals, "2000")
		w.WriteHeader(status)
		_ = json.NewEncoder(w).Encode(answer)
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func explained(entry, worker string, free int64) *platform.Explained {
	return &platform.Explained{Entry: entry, Zone: "z1", ConfigVersion: 7, Ready: true, Explanation: dispatch.Explanation{
		Decision: dispatch.Placed, Queue: "jobs", Service: "service", Class: "urgent", ExpectedEndMS: 50, OnTime: true, TotalTasks: 40,
		Tasks: []dispatch.TaskView{{Worker: worker, Rule: "lowest cost", Excluded: map[string]int{"no room": 9}, Candidates: []dispatch.Candidate{
			{Worker: worker, Chosen: true, FreeMilliCPU: free, CapacityMilliCPU: 16000, Speed: 1, OtherFactor: 1, RackFactor: 1},
			{Worker: "w9", Excluded: "evacuated zone", ReportAgeMS: -1},
		}}},
	}}
}

// Guards against an exit code that hides a faulty file or unreachable entries, and against
// output that lacks a fault, an entry or a difference.
func TestExplain(t *testing.T) {
	job := writeFile(t, `{"best_effort":true,"steps":[{"count":2}]}`)
	faulty := writeFile(t, "{\n\"spec\":7,\n\"steps\":[{\"count\":0}]}")
	a := explainingEntry(t, http.StatusOK, explained("e1", "w1", 8000))
	b := explainingEntry(t, http.StatusOK, explained("e2", "w2", 4000))
	sameAsA := explainingEntry(t, http.StatusOK, explained("e3", "w1", 8000))
	noQueue := explainingEntry(t, http.StatusNotFound, map[string]string{"error": "no such queue"})
	busy := explainingEntry(t, http.StatusTooManyRequests, map[string]string{"error": "at most one explanation a second is given"})
	const unreachable = "127.0.0.1:1"
	for _, tc := range []struct {
		name    string
		entries string
		args    []string
		code    int
		out     []string
	}{
		{"table", a, []string{job}, ExitOK, []string{"entry e1 in z1", "placed", "task 0.0: w1 (lowest cost)", "8.0 of 16.0", "evacuated zone", "9 more: no room", "39 more tasks"}},
		{"JSON", a, []string{"-json", job}, ExitOK, []string{`"decision": "placed"`, `"load_term"`}},
		{"second entry", unreachable + "," + busy + "," + b, []string{job}, ExitOK, []string{"entry " + unreachable, "entry " + busy, "entry e2 in z1"}},
		{"differences", a + "," + b + "," + unreachable, []string{"-all", job}, ExitOK, []string{`task 0.0: e1="w1" e2="w2"`, "entry " + unreachable}},
		{"differences as JSON", a + "," + b + "," + unreachable, []string{"-all", "-json", job}, ExitOK, []string{`"what": "task 0.0"`, `"error": "ask for`}},
		{"no differences", a + "," + sameAsA, []string{"-all", job}, ExitOK, []string{"the entries agree"}},
		{"faults", a, []string{faulty}, ExitUsage, []string{faulty + ":2: spec", faulty + ":3: steps[0].count"}},
		{"no such queue", noQueue + "," + a, []string{job}, ExitUsage, []string{"no such queue"}},
		{"no entry", unreachable + "," + busy, []string{job}, ExitFailed, []string{"no entry could be reached", "entry " + unreachable, "entry " + busy}},
		{"no file", a, nil, ExitUsage, []string{"explain takes one file"}},
		{"missing file", a, []string{"none.json"}, ExitUsage, []string{"no such file"}},
		{"no entries", "", []string{job}, ExitUsage, []string{"-entries is required"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			args := append([]string{"explain", "-entries", tc.entries, "-host", "jobs.example", "-path", "/jobs/", "-deadline", "2s"}, tc.args...)
			code, out, errOut := runCommand(t, args...)
			qt.Assert(t, code, qt.Equals, tc.code, qt.Commentf("%s%s", out, errOut))
			for _, text := range tc.out {
				qt.Check(t, out+errOut, qt.Contains, text)
			}
		})
	}
}

// Guards against output of the product's own interface that lacks a term of the decision or a
// fault, against an explanation without permission, and against a wrong exit code.
func TestExplainOwnInterface(t *testing.T) {
	entry := func(name, worker string) string {
		explained := &ingress.Explanation{
			Entry: name, Zone: "z1", Ready: true, ConfigVersion: 7, PlatformAgeMS: 400, Decision: ingress.Waits, Service: "s", Type: "t", Team: "kiln",
			Class: "short", DeadlineMS: 2000, ExpectedEndMS: 90, Ahead: ingress.QueueAhead{Waiting: 12, FirstTask: 3, LastTask: 8},
			Supply: ingress.SupplyView{Slots: 16, Busy: 8, BusyByOthers: 2}, Admission: admission.View{Quota: 100, Share: 50, InProgress: 20, ExpectedWaitMS: 30},
			Tasks: []ingress.TaskView{
				{Worker: worker, Rule: "highest rank", Excluded: map[string]int{"lower rank": 4}, Candidates: []placement.Candidate{
					{Worker: worker, Chosen: true, RankedFree: 2, SlowdownStep: 128, Slowdown: 1, Slots: 8},
					{Worker: "w9", Excluded: "ejected: 5 consecutive failures", EjectedMS: 700},
				}},
				{Index: 1, Rule: "no worker that may run it has a free slot"},
			},
			TotalTasks: 40,
		}
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			var sub api.Submission
			qt.Check(t, json.NewDecoder(r.Body).Decode(&sub), qt.IsNil)
			qt.Check(t, []any{r.Method + " " + r.URL.String(), sub.DeadlineMS}, qt.DeepEquals, []any{"POST /v1/explain", int64(2000)})
			switch r.Header.Get("Authorization") {
			case "Bearer operator":
				_ = json.NewEncoder(w).Encode(explained)
			case "Bearer of another release":
				w.WriteHeader(http.StatusBadRequest)
				_ = json.NewEncoder(w).Encode(api.Answer{Message: "the job has no colour"})
			default:
				w.WriteHeader(http.StatusUnauthorized)
				_ = json.NewEncoder(w).Encode(api.Answer{Message: "the header Authorization needs the operator's bearer token"})
			}
		}))
		t.Cleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	job := writeFile(t, `{"service":"s","type":"t","team":"kiln","tasks":[1,2]}`)
	faulty := writeFile(t, "{\"service\":\"s\",\"type\":\"t\",\n\"team\":7,\n\"tasks\":[]}")
	a, b := entry("e1", "w1"), entry("e2", "w2")
	const unreachable = "127.0.0.1:1"
	for _, tc := range []struct {
		name, entries, token string
		args                 []string
		code                 int
		out                  []string
	}{
		{"table", a, "operator", []string{job}, ExitOK, []string{"entry e1 in z1", "waits", "read 400 ms ago", "3 go before the first and 8 before the last", "16 slots, 8 in use",
			"this entry's part is 50 of 100", "task 0: w1 (highest rank)", "ejected: 5 consecutive failures (700 ms)", "4 more: lower rank", "task 1: none", "38 more tasks"}},
		{"JSON", a, "operator", []string{"-json", job}, ExitOK, []string{`"decision": "waits"`, `"slowdown_step": 128`}},
		{"differences", a + "," + b + "," + unreachable, "operator", []string{"-all", job}, ExitOK, []string{`task 0: e1="w1" e2="w2"`, "entry " + unreachable}},
		{"second entry", unreachable + "," + b, "operator", []string{job}, ExitOK, []string{"entry e2 in z1"}},
		{"faults", a, "operator", []string{faulty}, ExitUsage, []string{faulty + ":2: ", faulty + ":3: the job has no tasks"}},
		{"refused by another release", a, "of another release", []string{job}, ExitUsage, []string{"no colour"}},
		{"no entry", unreachable, "operator", []string{job}, ExitFailed, []string{"no entry could be reached"}},
		{"not permitted", a, "team", []string{job}, ExitFailed, []string{"operator's bearer token"}},
		{"deadline in the past", a, "operator", []string{"-deadline", "-2s", job}, ExitUsage, []string{"-deadline is -2s"}},
		{"both interfaces", a, "operator", []string{"-host", "jobs.example", job}, ExitUsage, []string{"-token is for"}},
	} {
		t.Run(tc.name, func(t *testing.T) {
			code, out, errOut := runCommand(t, append([]string{"explain", "-entries", tc.entries, "-token", tc.token, "-deadline", "2s"}, tc.args...)...)
			qt.Assert(t, code, qt.Equals, tc.code, qt.Commentf("%s%s", out, errOut))
			for _, text := range tc.out {
				qt.Check(t, out+errOut, qt.Contains, text)
			}
			if tc.code != ExitOK {
				qt.Check(t, out, qt.Equals, "")
			}
		})
	}
}

// Guards against a comparison that says "on time" of a job whose end isn't known, since it
// waits for a worker.
func TestComparisonOfUnknownEnd(t *testing.T) {
	var out strings.Builder
	std := &streams{out: &out}
	qt.Assert(t, std.printComparison([]entryExplanation{
		{Explanation: ownExplanation{&ingress.Explanation{Entry: "e1", Zone: "z1", Decision: ingress.Waits, DeadlineMS: 2000}}},
		{Explanation: ownExplanation{&ingress.Explanation{Entry: "e2", Zone: "z1", Decision: ingress.Placed, DeadlineMS: 2000, ExpectedEndMS: 90}}},
	}, nil), qt.IsNil)
	rows := strings.Split(out.String(), "\n")
	qt.Check(t, strings.Fields(rows[1])[:5], qt.DeepEquals, []string{"e1", "z1", "waits", "unknown", "unknown"})
	qt.Check(t, strings.Fields(rows[2])[:6], qt.DeepEquals, []string{"e2", "z1", "placed", "90", "ms", "true"})
}
