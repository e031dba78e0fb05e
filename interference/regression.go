package interference

import "math"

// Columns of a regression that aren't neighbor kinds.
const (
	constantColumn = iota
	loadColumn
	speedColumn
	// firstNeighbor is the column of the kind with slot 0.
	firstNeighbor
	// valueColumn holds the logarithm that is explained.
	valueColumn = firstNeighbor + MaxKinds
	columns     = valueColumn + 1
)

// ridge is added to the diagonal, in observations. It keeps the solution finite for
// columns without variation, and is small beside the sums of a few dozen runs.
const ridge = 0.1

// row is one observation.
type row [columns]float64

// regression holds the sums of squares and products of its rows.
type regression struct {
	sums [columns][columns]float64
}

func (g *regression) add(r *row) {
	for i := range r {
		if r[i] == 0 {
			continue
		}
		for j := 0; j <= i; j++ {
			g.sums[i][j] += r[i] * r[j]
		}
	}
}

// age multiplies all sums by keep, from 0 to 1.
func (g *regression) age(keep float64) {
	for i := range g.sums {
		for j := 0; j <= i; j++ {
			g.sums[i][j] *= keep
		}
	}
}

// clearColumn forgets a neighbor kind.
func (g *regression) clearColumn(column int) {
	for i := range g.sums {
		g.sums[i][column], g.sums[column][i] = 0, 0
	}
}

// observations is the number of rows, less those that have aged away.
func (g *regression) observations() float64 { return g.sums[constantColumn][constantColumn] }

// solution holds the inverse of the sums, the estimates in the last row, and the
// residual sum of squares.
type solution struct {
	inverse  [columns][columns]float64
	residual float64
	// freedom is the number of observations less that of estimated coefficients.
	freedom float64
}

// solve sweeps the sums on all columns but the last.
func (g *regression) solve() *solution {
	s := &solution{freedom: g.observations()}
	a := &s.inverse
	for i := range g.sums {
		for j := 0; j <= i; j++ {
			a[i][j], a[j][i] = g.sums[i][j], g.sums[i][j]
		}
	}
	for k := range valueColumn {
		if a[k][k] > ridge {
			s.freedom--
		}
		a[k][k] += ridge
	}
	for k := range valueColumn {
		pivot := a[k][k]
		for i := range a {
			if i == k {
				continue
			}
			f := a[i][k] / pivot
			if f == 0 {
				continue
			}
			for j := range a {
				if j != k {
					a[i][j] -= f * a[k][j]
				}
			}
			a[i][k] = -f
		}
		for j := range a {
			if j != k {
				a[k][j] /= pivot
			}
		}
		a[k][k] = 1 / pivot
	}
	s.residual = math.Max(a[valueColumn][valueColumn], 0)
	return s
}

// pair returns the sums of a neighbor kind after the effect of all other columns has been
// taken out. These are additive over workers.
func (s *solution) pair(column int) Sums {
	xx := 1 / s.inverse[column][column]
	return Sums{XX: xx - ridge, XY: xx * s.inverse[column][valueColumn], Residual: s.residual, Freedom: s.freedom}
}
