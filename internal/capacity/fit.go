package capacity

import (
	"errors"
	"fmt"
	"math"
	"slices"
)

// ErrUndetermined means that the samples do not tell the drivers apart.
var ErrUndetermined = errors.New("capacity: drivers cannot be told apart")

// Fit is a linear model: the sum of Slopes times drivers. The spread of the
// samples around it is Residual, the largest deviation as a part of the mean.
type Fit struct {
	Slopes   []float64
	Residual float64
	Samples  int
}

// At returns the model's value for drivers.
func (f Fit) At(drivers ...float64) float64 {
	sum := 0.0
	for i, d := range drivers {
		sum += f.Slopes[i] * d
	}
	return sum
}

// LeastSquares fits values to drivers, one row of drivers for each value. A
// constant is a driver that is always 1. It fails with ErrUndetermined.
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

// smallestPivot is the part of a row's largest number below which a pivot
// counts as zero.
const smallestPivot = 1e-9

// solve eliminates with partial pivoting.
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
		if math.Abs(rows[col][col]) <= smallestPivot*largest(rows[col]) {
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

func largest(row []float64) float64 {
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

// NonNegative fits like LeastSquares with slopes of zero or more, as costs are.
// A driver whose slope would be negative is left out, the most negative first:
// the samples do not determine what it costs, and a negative cost would hide
// that of others.
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
			return f.spread(kept, len(drivers[0])), nil
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

// spread puts the slopes of kept drivers in their places among n; others are
// zero.
func (f Fit) spread(kept []int, n int) Fit {
	all := make([]float64, n)
	for i, k := range kept {
		all[k] = max(0, f.Slopes[i])
	}
	f.Slopes = all
	return f
}
