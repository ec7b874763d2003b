package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrUndetermined means that the samples do not determine the slopes of all
// drivers, for example because two drivers are collinear.
var ErrUndetermined = errors.New("capacity: samples do not determine the slopes of all drivers")

// Fit is a linear model: the sum of Slopes times drivers. Residual is the largest
// deviation of a sample from the model, as a fraction of the samples' mean.
type Fit struct {
	Slopes   []float64
	Residual float64
	Samples  int
}

// At returns the value of the model for the given drivers.
func (f Fit) At(drivers ...float64) float64 {
	sum := 0.0
	for i, d := range drivers {
		sum += f.Slopes[i] * d
	}
	return sum
}

// LeastSquares fits values to drivers, with one row of drivers for each value. A
// constant term is a driver that is always 1. It fails with ErrUndetermined.
func LeastSquares(drivers [][]float64, values []float64) (Fit, error) {
	if len(drivers) == 0 || len(drivers) < len(drivers[0]) {
		return Fit{}, fmt.Errorf("%w: %d samples", ErrUndetermined, len(drivers))
	}
	slopes, err := solve(normalEquations(drivers, values))
	if err != nil {
		return Fit{}, err
	}
	f := Fit{Slopes: slopes, Samples: len(values)}
	f.Residual = f.residual(drivers, values)
	return f, nil
}

// normalEquations returns the rows of (DᵀD | Dᵀv).
func normalEquations(drivers [][]float64, values []float64) [][]float64 {
	n := len(drivers[0])
	rows := make([][]float64, n)
	for i := range rows {
		rows[i] = make([]float64, n+1)
		for s, d := range drivers {
			for j := range n {
				rows[i][j] += d[i] * d[j]
			}
			rows[i][n] += d[i] * values[s]
		}
	}
	return rows
}

// minPivotRatio is the ratio to the largest absolute value of its row up to which
// a pivot counts as zero.
const minPivotRatio = 1e-9

// solve solves a system of linear equations by Gauss-Jordan elimination with
// partial pivoting. It fails with ErrUndetermined if the system is singular.
func solve(rows [][]float64) ([]float64, error) {
	n := len(rows)
	for col := range n {
		pivot := col
		for r := col; r < n; r++ {
			if math.Abs(rows[r][col]) > math.Abs(rows[pivot][col]) {
				pivot = r
			}
		}
		rows[col], rows[pivot] = rows[pivot], rows[col]
		if math.Abs(rows[col][col]) <= minPivotRatio*maxAbs(rows[col]) {
			return nil, ErrUndetermined
		}
		for r := range n {
			if r != col {
				subtract(rows[r], rows[col], rows[r][col]/rows[col][col])
			}
		}
	}
	solution := make([]float64, n)
	for i := range n {
		solution[i] = rows[i][n] / rows[i][i]
	}
	return solution, nil
}

func maxAbs(row []float64) float64 {
	m := 0.0
	for _, v := range row {
		m = max(m, math.Abs(v))
	}
	return m
}

func subtract(row, other []float64, factor float64) {
	for i := range row {
		row[i] -= factor * other[i]
	}
}

func (f Fit) residual(drivers [][]float64, values []float64) float64 {
	worst, sum := 0.0, 0.0
	for i, v := range values {
		worst = max(worst, math.Abs(v-f.At(drivers[i]...)))
		sum += math.Abs(v)
	}
	if sum == 0 {
		return 0
	}
	return worst / (sum / float64(len(values)))
}

// NonNegative fits like LeastSquares, but with slopes of zero or more, since costs
// are not negative. Drivers with negative slopes are removed one by one, the most
// negative first: the samples do not determine the cost of such a driver, and a
// negative cost would hide the costs of other drivers.
func NonNegative(drivers [][]float64, values []float64) (Fit, error) {
	if len(drivers) == 0 {
		return LeastSquares(drivers, values)
	}
	kept := make([]int, len(drivers[0]))
	for i := range kept {
		kept[i] = i
	}
	for {
		f, err := LeastSquares(columns(drivers, kept), values)
		if err != nil {
			return Fit{}, err
		}
		worst := slices.Index(f.Slopes, slices.Min(f.Slopes))
		if f.Slopes[worst] >= 0 || len(kept) == 1 {
			return f.expand(kept, len(drivers[0])), nil
		}
		kept = slices.Delete(kept, worst, worst+1)
	}
}

// columns returns the drivers with the given indices only.
func columns(drivers [][]float64, kept []int) [][]float64 {
	rows := make([][]float64, len(drivers))
	for i, row := range drivers {
		for _, k := range kept {
			rows[i] = append(rows[i], row[k])
		}
	}
	return rows
}

// expand returns the fit with n slopes: those of the kept drivers at their
// original indices, and zero for the others.
func (f Fit) expand(kept []int, n int) Fit {
	all := make([]float64, n)
	for i, k := range kept {
		all[k] = max(0, f.Slopes[i])
	}
	f.Slopes = all
	return f
}
