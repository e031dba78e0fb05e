package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// longFactor separates long types from the short types of a service.
	longFactor = 10
	// shortFactor is the factor below which a long type becomes short again. The
	// gap keeps a type from changing back and forth.
	shortFactor = 7
	// classifyEvery is the number of observations of a service after which its
	// types are classified again.
	classifyEvery = 16
)

// types holds the learned run times per service and request type.
type types struct {
	max      int
	known    map[typeName]*requestType
	services map[string]*serviceTypes
}

type typeName struct{ service, name string }

type serviceTypes struct {
	types []*requestType
	since int
}

type requestType struct {
	name typeName
	// log is the mean logarithm of the run time in ns. Its exponential is the
	// typical run time; a few stragglers hardly move it.
	log  average
	long bool
	used time.Time
	// weight is the share of recent observations, decayed at classification.
	weight float64
}

func newTypes(limit int) types {
	return types{max: limit, known: map[typeName]*requestType{}, services: map[string]*serviceTypes{}}
}

func (t *types) class(service, name string) wire.Class {
	if r := t.known[typeName{service, name}]; r != nil && r.long {
		return wire.ClassLong
	}
	return wire.ClassShort
}

// observe records a run time and returns its ratio to the typical run time of
// the type before this observation.
func (t *types) observe(service, name string, d time.Duration, now time.Time) float64 {
	n := typeName{service, name}
	r := t.known[n]
	if r == nil {
		r = t.add(n)
	}
	v := math.Log(float64(d))
	ratio := 1.0
	if r.log.count > 0 {
		ratio = math.Exp(v - r.log.value)
	}
	r.log.add(v)
	r.used = now
	r.weight++
	st := t.services[service]
	if st.since++; st.since >= classifyEvery {
		st.since = 0
		st.classify()
	}
	return ratio
}

// typical returns the typical run time of a type; 0 if it is unknown.
func (t *types) typical(service, name string) time.Duration {
	r := t.known[typeName{service, name}]
	if r == nil {
		return 0
	}
	return time.Duration(math.Exp(r.log.value))
}

// add remembers a type and forgets the one that was not used for longest if
// there are too many.
func (t *types) add(n typeName) *requestType {
	if len(t.known) >= t.max {
		var oldest *requestType
		for _, r := range t.known {
			if oldest == nil || r.used.Before(oldest.used) {
				oldest = r
			}
		}
		delete(t.known, oldest.name)
		st := t.services[oldest.name.service]
		st.types = slices.DeleteFunc(st.types, func(r *requestType) bool { return r == oldest })
		if len(st.types) == 0 {
			delete(t.services, oldest.name.service)
		}
	}
	r := &requestType{name: n}
	t.known[n] = r
	if t.services[n.service] == nil {
		t.services[n.service] = &serviceTypes{}
	}
	st := t.services[n.service]
	st.types = append(st.types, r)
	return r
}

// classify walks from the shortest type up. A type is long when its typical run
// time exceeds that of the short types below it by longFactor.
func (st *serviceTypes) classify() {
	slices.SortFunc(st.types, func(a, b *requestType) int { return cmp.Compare(a.log.value, b.log.value) })
	var sum, weight float64
	for _, r := range st.types {
		factor := float64(longFactor)
		if r.long {
			factor = shortFactor
		}
		r.long = weight > 0 && r.log.value > sum/weight+math.Log(factor)
		if !r.long {
			sum += r.weight * r.log.value
			weight += r.weight
		}
		r.weight *= 0.98
	}
}

// average is an exponentially weighted mean that starts as a plain mean.
type average struct {
	value float64
	count int
}

// averageWindow is the number of observations that an average remembers.
const averageWindow = 64

func (a *average) add(v float64) {
	if a.count < averageWindow {
		a.count++
	}
	a.value += (v - a.value) / float64(a.count)
}

func (a *average) duration() time.Duration { return time.Duration(a.value) }
