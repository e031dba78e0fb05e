package placement

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sesamelift/sesamelift/wire"
)

const (
	// longRatio is the ratio to the typical run time of the short types of a service
	// above which a type becomes long.
	longRatio = 10
	// shortRatio is the ratio at or below which a long type becomes short again. The
	// hysteresis keeps a type from alternating between the classes.
	shortRatio = 7
	// classifyInterval is the number of observations of a service after which its
	// types are classified again.
	classifyInterval = 16
	// weightDecay is the factor by which the weight of a type decreases at each
	// classification, so that the weights follow the current mix of types.
	weightDecay = 0.98
)

// requestTypes holds the learned run times per service and request type.
type requestTypes struct {
	max      int
	byKey    map[typeKey]*requestType
	services map[string]*serviceTypes
}

type typeKey struct{ service, typ string }

type serviceTypes struct {
	types           []*requestType
	sinceClassified int
}

type requestType struct {
	key typeKey
	// logRunTime is the moving average of the natural logarithm of the run time in
	// ns. Its exponential is the typical run time, which a few stragglers hardly
	// change.
	logRunTime   movingAverage
	long         bool
	lastObserved time.Time
	// weight is the number of observations, decayed at each classification.
	weight float64
}

func newRequestTypes(limit int) requestTypes {
	return requestTypes{max: limit, byKey: map[typeKey]*requestType{}, services: map[string]*serviceTypes{}}
}

func (t *requestTypes) class(service, typ string) wire.Class {
	if r := t.byKey[typeKey{service, typ}]; r != nil && r.long {
		return wire.ClassLong
	}
	return wire.ClassShort
}

// observe records a run time and returns its ratio to the typical run time that
// the type had before; 1 for the first observation of a type.
func (t *requestTypes) observe(service, typ string, d time.Duration, now time.Time) float64 {
	key := typeKey{service, typ}
	r := t.byKey[key]
	if r == nil {
		r = t.add(key)
	}
	v := math.Log(float64(d))
	ratio := 1.0
	if r.logRunTime.count > 0 {
		ratio = math.Exp(v - r.logRunTime.value)
	}
	r.logRunTime.add(v)
	r.lastObserved = now
	r.weight++
	st := t.services[service]
	if st.sinceClassified++; st.sinceClassified >= classifyInterval {
		st.sinceClassified = 0
		st.classify()
	}
	return ratio
}

// typicalRunTime returns the typical run time of a type; 0 if it is unknown.
func (t *requestTypes) typicalRunTime(service, typ string) time.Duration {
	r := t.byKey[typeKey{service, typ}]
	if r == nil {
		return 0
	}
	return time.Duration(math.Exp(r.logRunTime.value))
}

// add adds a type. At the limit it first evicts the type whose last observation is
// oldest.
func (t *requestTypes) add(key typeKey) *requestType {
	if len(t.byKey) >= t.max {
		var oldest *requestType
		for _, r := range t.byKey {
			if oldest == nil || r.lastObserved.Before(oldest.lastObserved) {
				oldest = r
			}
		}
		delete(t.byKey, oldest.key)
		st := t.services[oldest.key.service]
		st.types = slices.DeleteFunc(st.types, func(r *requestType) bool { return r == oldest })
		if len(st.types) == 0 {
			delete(t.services, oldest.key.service)
		}
	}
	r := &requestType{key: key}
	t.byKey[key] = r
	if t.services[key.service] == nil {
		t.services[key.service] = &serviceTypes{}
	}
	st := t.services[key.service]
	st.types = append(st.types, r)
	return r
}

// classify visits the types in order of increasing run time. A type is long if its
// typical run time is more than longRatio times the weighted geometric mean of those
// of the short types before it, or more than shortRatio times if it was long already.
func (st *serviceTypes) classify() {
	slices.SortFunc(st.types, func(a, b *requestType) int { return cmp.Compare(a.logRunTime.value, b.logRunTime.value) })
	var sum, weight float64
	for _, r := range st.types {
		factor := float64(longRatio)
		if r.long {
			factor = shortRatio
		}
		r.long = weight > 0 && r.logRunTime.value > sum/weight+math.Log(factor)
		if !r.long {
			sum += r.weight * r.logRunTime.value
			weight += r.weight
		}
		r.weight *= weightDecay
	}
}

// movingAverage is an exponentially weighted average. For the first averageWindow
// observations it is the arithmetic mean.
type movingAverage struct {
	value float64
	count int
}

// averageWindow is the inverse of the weight of the last observation.
const averageWindow = 64

func (a *movingAverage) add(v float64) {
	if a.count < averageWindow {
		a.count++
	}
	a.value += (v - a.value) / float64(a.count)
}

func (a *movingAverage) duration() time.Duration { return time.Duration(a.value) }
