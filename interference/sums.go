// Package interference estimates which kinds of tasks slow each other down when they run
// on the same worker. It does no I/O and reads no clock.
//
// An agent feeds a Learner with completed runs and passes its summaries to entries; an
// entry feeds a Pool with the summaries of all agents, which tells which pairs count.
//
// Input: runs or summaries, time. Output: summaries, or changes of the pairs that count.
// State: aging sums of bounded number. See docs/design/interference.md.
package interference

import "math"

// Pair is a kind of task and a kind that may slow it down when it runs beside it.
type Pair struct {
	Kind, Neighbor string
}

// Sums are the sums of a regression of log run times on the share of the run for which a
// task of the neighbor kind ran on the same worker, with the other influences taken out.
// Sums of independent samples can be added.
type Sums struct {
	// XX and XY are the sums of squares of the share and of its products with the log
	// run time.
	XX, XY float64
	// Residual is the sum of squares of what the regression doesn't explain, Freedom the
	// number of observations less that of estimated coefficients.
	Residual, Freedom float64
}

// maxEffect bounds effects: log ratios are limited to this range.
const maxEffect = 2 * maxLogDeviation

// valid reports whether s can come from a Learner.
func (s Sums) valid() bool {
	const (
		limit = 1e9
		// rounding is the share and the amount by which sums may exceed a bound, since
		// they are sent with 24 bits.
		rounding = 1e-6
	)
	return s.XX >= 0 && s.Residual >= 0 && s.Residual < limit && s.Freedom >= 0 && s.Freedom < limit &&
		s.XX <= (s.Freedom+columns)*(1+rounding) && math.Abs(s.XY) <= maxEffect*s.XX*(1+rounding)+rounding
}

func (s Sums) add(o Sums) Sums {
	return Sums{s.XX + o.XX, s.XY + o.XY, s.Residual + o.Residual, s.Freedom + o.Freedom}
}

func (s Sums) sub(o Sums) Sums {
	return Sums{s.XX - o.XX, s.XY - o.XY, s.Residual - o.Residual, s.Freedom - o.Freedom}
}

// effect is the logarithm of the slowdown factor, drawn towards 0 when there is little
// data.
func (s Sums) effect() float64 { return min(max(s.XY/(s.XX+1), -maxEffect), maxEffect) }

// Factor is the estimated slowdown factor.
func (s Sums) Factor() float64 { return math.Exp(s.effect()) }

const (
	// minFreedom is the number of observations below which nothing is concluded: the
	// variance is too uncertain.
	minFreedom = 20
	// minVariance is a lower bound of the variance of log run times. Whole milliseconds
	// alone add about this much to tasks of 50 ms.
	minVariance = 1e-4
	// effectSpread is the standard deviation of the effects that the sequential test
	// weighs against none: the logarithm of a factor of 1.5.
	effectSpread = 0.4
)

// t is the t value of the effect; 0 with too few observations.
func (s Sums) t() float64 {
	if s.Freedom < minFreedom || s.XX <= 0 {
		return 0
	}
	return s.XY / math.Sqrt(s.XX*max(s.Residual/s.Freedom, minVariance))
}

// Confidence is that of a slowdown, as one of several pairs that are looked at again and
// again. It is 0 if there is none.
func (s Sums) Confidence(pairs int) float64 {
	t := s.t()
	if t <= 0 {
		return 0
	}
	information := s.XX / max(s.Residual/s.Freedom, minVariance) * effectSpread * effectSpread
	// The logarithm of the mixture likelihood ratio; the first factor is the correction of
	// t*t for a variance that is estimated.
	logRatio := 0.5*s.Freedom*math.Log1p(t*t/s.Freedom)*information/(1+information) - 0.5*math.Log1p(information)
	return max(1-float64(pairs)*math.Exp(-logRatio), 0)
}
