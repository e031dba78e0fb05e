package link

import (
	"bufio"
	"bytes"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/klauspost/compress/zstd"
)

// randomSpec returns a spec of random letters, from which only the coding of single bytes
// gains anything.
func randomSpec(n int) string {
	r := rand.New(rand.NewPCG(1, uint64(n)))
	b := make([]byte, n)
	for i := range b {
		b[i] = 'a' + byte(r.IntN(16))
	}
	return string(b)
}

func roundTrip(t *testing.T, c *Commands) (*Commands, int) {
	frame, err := AppendFrame(nil, c)
	qt.Assert(t, err, qt.IsNil)
	var got Commands
	qt.Assert(t, ReadFrame(bufio.NewReader(bytes.NewReader(frame)), &got), qt.IsNil)
	return &got, len(frame)
}

// Load pattern: wide jobs with specs of 1,200 bytes at an entry on a slow link. Guards
// against a spec that is sent once for each task, or uncompressed: at 2 Mbit/s, the specs
// of a job of eight tasks of 50 ms took 40 ms.
func TestWideJobSendsItsSpecOncePerAgent(t *testing.T) {
	spec := randomSpec(1200)
	c := &Commands{}
	for i := range 8 {
		c.Starts = append(c.Starts, Start{Task: TaskID{Job: "5c0e7a21d94b36f8", Index: uint16(i)}, Attempt: 1, Spec: spec})
	}
	got, size := roundTrip(t, c)
	qt.Assert(t, size < len(spec), qt.IsTrue, qt.Commentf("%d bytes for 8 starts", size))
	qt.Assert(t, got.Starts, qt.HasLen, 8)
	for _, s := range got.Starts {
		qt.Assert(t, s.Spec, qt.Equals, spec)
	}
}

// Guards against a spec that is lost, altered, or given to another start.
func TestSpecsOfSeveralJobs(t *testing.T) {
	c := &Commands{}
	for i, spec := range []string{"", "short", randomSpec(255), randomSpec(256), strings.Repeat("ä", 2000), "short", randomSpec(4000), "\xff\x00"} {
		c.Starts = append(c.Starts, Start{Task: TaskID{Job: fmt.Sprint(i)}, Spec: spec})
	}
	got, _ := roundTrip(t, c)
	for i, s := range got.Starts {
		qt.Assert(t, s, qt.DeepEquals, Start{Task: TaskID{Job: fmt.Sprint(i)}, Spec: c.Starts[i].Spec})
	}
	qt.Assert(t, got.Specs, qt.IsNil)
}

// Guards against specs that end the process or that take more memory than a spec can have.
func TestOddSpecs(t *testing.T) {
	encoder, err := specEncoder()
	qt.Assert(t, err, qt.IsNil)
	for _, tc := range []struct {
		specs []Spec
		index uint16
		want  string
	}{
		{nil, 0, ".*refers to spec 0 of 0"},
		{[]Spec{{Data: []byte("x")}}, 1, ".*refers to spec 1 of 1"},
		{[]Spec{{Compressed: true, Data: []byte("no frame")}}, 0, "decompress a spec: .*"},
		{[]Spec{{Compressed: true, Data: encoder.EncodeAll(make([]byte, 64<<20), nil)}}, 0, "decompress a spec: .*"},
	} {
		c := &Commands{Starts: []Start{{SpecIndex: tc.index}}, Specs: tc.specs}
		qt.Check(t, c.unpackSpecs(), qt.ErrorMatches, tc.want)
	}
}

// Guards against a message of a few hundred kilobytes whose specs decompress to a gigabyte.
func TestSpecsOfAMessageAreBounded(t *testing.T) {
	encoder, err := specEncoder()
	qt.Assert(t, err, qt.IsNil)
	bomb := Spec{Compressed: true, Data: encoder.EncodeAll(make([]byte, maxSpecBytes), nil)}
	const most = maxSpecsBytes / maxSpecBytes
	unpack := func(n int) (uint64, error) {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		c := &Commands{Starts: []Start{{}}, Specs: slices.Repeat([]Spec{bomb}, n)}
		err := c.unpackSpecs()
		runtime.ReadMemStats(&after)
		return after.TotalAlloc - before.TotalAlloc, err
	}
	_, err = unpack(most)
	qt.Assert(t, err, qt.IsNil)
	allocated, err := unpack(16 << 10)
	qt.Check(t, err, qt.ErrorMatches, "the specs of a message exceed the limit of 16777216 bytes")
	qt.Check(t, allocated < 2*maxSpecsBytes, qt.IsTrue, qt.Commentf("%d bytes allocated", allocated))
	large := Spec{Data: make([]byte, maxFrameBytes)}
	c := &Commands{Starts: []Start{{}}, Specs: slices.Repeat([]Spec{large}, maxSpecsBytes/maxFrameBytes+1)}
	qt.Check(t, c.unpackSpecs(), qt.ErrorMatches, "the specs of a message exceed .*")
}

// Guards against a spec that exceeds its limit because it does not declare its size, or
// because it consists of several Zstandard frames.
func TestSpecsWithoutDeclaredSizeAreBounded(t *testing.T) {
	var b bytes.Buffer
	w, err := zstd.NewWriter(&b, zstd.WithEncoderConcurrency(1), zstd.WithWindowSize(specWindowBytes))
	qt.Assert(t, err, qt.IsNil)
	write := func(n int) []byte {
		b.Reset()
		w.Reset(&b)
		for range n / maxSpecBytes {
			_, err := w.Write(make([]byte, maxSpecBytes))
			qt.Assert(t, err, qt.IsNil)
		}
		qt.Assert(t, w.Close(), qt.IsNil)
		return bytes.Clone(b.Bytes())
	}
	whole := write(maxSpecBytes)
	var h zstd.Header
	qt.Assert(t, h.Decode(whole), qt.IsNil)
	qt.Assert(t, h.HasFCS, qt.IsFalse)
	for _, tc := range []struct {
		data []byte
		ok   bool
	}{{whole, true}, {slices.Repeat(whole, 1000), false}, {write(64 << 20), false}} {
		c := &Commands{Starts: []Start{{}}, Specs: []Spec{{Compressed: true, Data: tc.data}}}
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := c.unpackSpecs()
		runtime.ReadMemStats(&after)
		if tc.ok {
			qt.Check(t, err, qt.IsNil)
			qt.Check(t, c.Starts[0].Spec, qt.HasLen, maxSpecBytes)
		} else {
			qt.Check(t, err, qt.ErrorMatches, "decompress a spec: .*")
		}
		qt.Check(t, after.TotalAlloc-before.TotalAlloc < 1<<20, qt.IsTrue, qt.Commentf("%d bytes allocated", after.TotalAlloc-before.TotalAlloc))
	}
}

// Guards against a message that its receiver refuses, and against a limit that the largest
// message of an entry exceeds.
func TestLargestMessage(t *testing.T) {
	c := &Commands{}
	for i := range 1000 {
		c.Starts = append(c.Starts, Start{Spec: fmt.Sprintf("%04d", i) + randomSpec(3996)})
	}
	got, _ := roundTrip(t, c)
	qt.Assert(t, got.Starts[999].Spec, qt.Equals, c.Starts[999].Spec)
	c = &Commands{}
	for i := range maxSpecsBytes/4000 + 1 {
		c.Starts = append(c.Starts, Start{Spec: fmt.Sprintf("%04d", i) + strings.Repeat("x", 3996)})
	}
	_, err := AppendFrame(nil, c)
	qt.Assert(t, err, qt.ErrorMatches, "the specs of a message exceed .*")
}

func BenchmarkPackSpec(b *testing.B) {
	spec := randomSpec(1200)
	for b.Loop() {
		c := Commands{Starts: []Start{{Spec: spec}}}
		if err := new(SpecPacker).Pack(&c); err != nil {
			b.Fatal(err)
		}
	}
}
