package link

import (
	"bufio"
	"bytes"
	"math"
	"reflect"
	"testing"

	qt "github.com/frankban/quicktest"
)

// Guards against a number of a peer that overflows in the state of the receiver: a negative
// need raises the free capacity of a worker, a capacity beyond 64 bits in sum makes that of a
// service negative.
func TestNumbersBeyondTheLimitsAreNotRead(t *testing.T) {
	messages := func() []Message {
		return []Message{
			&Welcome{Protocol: Protocol, Agent: "a1", ClockMS: 7},
			&Commands{AsOfMS: 7, Starts: []Start{{EstimateMS: 100, DueMS: -50}}, Claims: []Claim{{EstimateMS: 100, DueMS: 50}}},
			&Report{
				ClockMS: 7, Free: Resources{MilliCPU: -500}, Worker: &WorkerState{Capacity: Resources{MilliCPU: MaxCapacity}},
				Ends: []End{{RanMS: 100}}, Progress: []Progress{{RemainingMS: -1, IdleMS: 20}},
			},
		}
	}
	read := func(m Message) error {
		frame, err := AppendFrame(nil, m)
		qt.Assert(t, err, qt.IsNil)
		return ReadFrame(bufio.NewReader(bytes.NewReader(frame)), reflect.New(reflect.TypeOf(m).Elem()).Interface().(Message))
	}
	checked := 0
	for i, m := range messages() {
		qt.Assert(t, read(m), qt.IsNil)
		for n := range numbersIn(reflect.ValueOf(m)) {
			for _, odd := range []int64{math.MinInt64, math.MinInt64 + 1, -1 << 53, 1 << 53, math.MaxInt64 - 1, math.MaxInt64} {
				changed := messages()[i]
				field := numbersIn(reflect.ValueOf(changed))[n]
				field.value.SetInt(odd)
				qt.Check(t, read(changed), qt.IsNotNil, qt.Commentf("%T: %s = %d", m, field.name, odd))
				checked++
			}
		}
	}
	// Welcome has 1 such number, Commands and Report have 11 each.
	qt.Assert(t, checked, qt.Equals, 6*(1+11+11))
}

type number struct {
	name  string
	value reflect.Value
}

// numbersIn lists the numbers of 64 bits with a sign in a message. Born identifies an
// instance, and nothing is computed from it.
func numbersIn(v reflect.Value) (list []number) {
	switch v.Kind() {
	case reflect.Pointer:
		if !v.IsNil() {
			list = numbersIn(v.Elem())
		}
	case reflect.Slice:
		for i := range v.Len() {
			list = append(list, numbersIn(v.Index(i))...)
		}
	case reflect.Struct:
		for i := range v.NumField() {
			name := v.Type().Field(i).Name
			if v.Field(i).Kind() == reflect.Int64 && name != "Born" {
				list = append(list, number{name, v.Field(i)})
				continue
			}
			list = append(list, numbersIn(v.Field(i))...)
		}
	}
	return list
}
