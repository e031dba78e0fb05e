package ingress

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"slices"

	"github.com/tailscale/hujson"

	"github.com/sesamelift/sesamelift/api"
)

// Fault is an error in a submission.
type Fault struct {
	// Line counts from 1.
	Line    int
	Message string
}

// SubmissionFaults returns every fault for which an entry refuses a body as malformed, apart
// from those after a syntax error. It returns none exactly if the entry accepts the body.
func SubmissionFaults(body []byte) []Fault {
	if len(body) > api.MaxJobBytes {
		return []Fault{{1, fmt.Sprintf("the body has more than %d bytes", api.MaxJobBytes)}}
	}
	sub, v := decodeSubmission(body)
	if v == nil {
		v = sub.Validate()
	}
	if v == nil {
		return nil
	}
	f := &faultFinder{body: body}
	var raw json.RawMessage
	var syntax *json.SyntaxError
	if err := json.Unmarshal(body, &raw); errors.As(err, &syntax) {
		f.add(int(syntax.Offset), syntax.Error())
		return f.faults
	}
	// JSON that encoding/json accepts is also accepted here.
	if root, err := hujson.Parse(body); err == nil {
		f.findIn(root)
	}
	if len(f.faults) == 0 {
		f.add(0, v.Message)
	}
	return f.faults
}

type faultFinder struct {
	body   []byte
	faults []Fault
}

func (f *faultFinder) add(offset int, message string) {
	line := 1 + bytes.Count(f.body[:min(max(offset, 0), len(f.body))], []byte("\n"))
	f.faults = append(f.faults, Fault{line, message})
}

// check adds a fault if a submission that has no other one is refused.
func (f *faultFinder) check(offset int, sub api.Submission) {
	if v := sub.Validate(); v != nil {
		f.add(offset, v.Message)
	}
}

// findIn checks each member by itself, in a submission that is right otherwise.
func (f *faultFinder) findIn(root hujson.Value) {
	obj, ok := root.Value.(*hujson.Object)
	if !ok {
		f.add(root.StartOffset, "the submission isn't an object")
		return
	}
	null := json.RawMessage("null")
	valid := func() api.Submission {
		return api.Submission{Service: "s", Type: "t", Team: "t", Tasks: []json.RawMessage{null}}
	}
	for _, m := range obj.Members {
		name, _ := json.Marshal(m.Name.Value.(hujson.Literal).String())
		member := fmt.Appendf(nil, "{%s:%s}", name, f.body[m.Value.StartOffset:m.Value.EndOffset])
		sub := valid()
		if _, v := decodeSubmission(member); v != nil {
			f.add(m.Name.StartOffset, v.Message)
			continue
		}
		if json.Unmarshal(member, &sub) != nil {
			continue
		}
		if len(sub.Tasks) < 2 || len(sub.Tasks) > api.MaxTasks {
			f.check(m.Name.StartOffset, sub)
			continue
		}
		for i, task := range sub.Tasks {
			one := valid()
			one.Tasks = append(slices.Repeat([]json.RawMessage{null}, i), task)
			f.check(m.Name.StartOffset, one)
		}
	}
	named := func(field string) bool {
		return slices.ContainsFunc(obj.Members, func(m hujson.ObjectMember) bool {
			return bytes.EqualFold([]byte(m.Name.Value.(hujson.Literal).String()), []byte(field))
		})
	}
	for _, required := range []struct {
		field string
		clear func(s *api.Submission)
	}{
		{"service", func(s *api.Submission) { s.Service = "" }},
		{"type", func(s *api.Submission) { s.Type = "" }},
		{"team", func(s *api.Submission) { s.Team = "" }},
		{"tasks", func(s *api.Submission) { s.Tasks = nil }},
	} {
		if !named(required.field) {
			sub := valid()
			required.clear(&sub)
			f.check(root.StartOffset, sub)
		}
	}
}
