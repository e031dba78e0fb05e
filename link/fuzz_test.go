package link

import (
	"bufio"
	"bytes"
	"testing"

	qt "github.com/frankban/quicktest"
	"github.com/tinylib/msgp/msgp"
)

// Guards against a frame that ends the process: a damaged length must not allocate
// more memory than the process has, and no content may make the decoder panic.
func FuzzReadFrame(f *testing.F) {
	for _, m := range []Message{
		&Hello{Protocol: Protocol, Entry: "e1", Incarnation: 1}, &Welcome{Protocol: Protocol, Agent: "a1"},
		&Commands{Sequence: 1, Starts: []Start{{Task: TaskID{Job: "j"}, Attempt: 1, Spec: "s"}}, Stops: []Stop{{}}, Claims: []Claim{{}}, KnownSpeed: &KnownSpeed{WorkerID: "w", Born: 7, Speed: 0.55, AgeMS: 900}, CountKinds: []string{"a"}},
		&Report{Answers: []StartAnswer{{}}, Ends: []End{{}}, Progress: []Progress{{}}, Worker: &WorkerState{ID: "w", Labels: []string{"l"}}, Pairs: []Pair{{Kind: "a"}}, Running: []KindCount{{Kind: "a"}}, LongTermSpeed: 0.55},
	} {
		frame, err := AppendFrame(nil, m)
		qt.Assert(f, err, qt.IsNil)
		f.Add(frame)
	}
	packed, err := AppendFrame(nil, &Commands{Starts: []Start{{Spec: randomSpec(300)}, {Spec: "s"}}})
	qt.Assert(f, err, qt.IsNil)
	f.Add(packed)
	// Commands whose claims have a length of 2^32-1.
	damaged := []byte{0, 0, 0, 8, 0x9b, 1, 1, 0xdd, 0xff, 0xff, 0xff, 0xff}
	qt.Assert(f, ReadFrame(bufio.NewReader(bytes.NewReader(damaged)), &Commands{}), qt.ErrorIs, msgp.ErrLimitExceeded)
	f.Add(damaged)
	f.Fuzz(func(t *testing.T, frame []byte) {
		for _, m := range []Message{&Hello{}, &Welcome{}, &Commands{}, &Report{}} {
			if ReadFrame(bufio.NewReader(bytes.NewReader(frame)), m) != nil {
				continue
			}
			_, err := AppendFrame(nil, m)
			qt.Assert(t, err, qt.IsNil)
		}
	})
}
