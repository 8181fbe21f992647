package cost

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// maxPoints is the maximum number of points of a figure and of values of a point.
const maxPoints = 64

// ErrFigure is wrapped by the error that Read returns for a figure with an invalid name, size or
// number of points or values.
var ErrFigure = errors.New("invalid figure")

// Figure is a cost that is measured at several sizes.
type Figure struct {
	Name     string  `json:"name"`              // base name of the file, without the extension
	Title    string  `json:"title"`             // measured cost
	XLabel   string  `json:"x"`                 // unit of the sizes
	YLabel   string  `json:"y"`                 // unit of the values
	Budget   float64 `json:"budget,omitempty"`  // upper limit in the unit of the values; 0 means no limit
	BudgetOf string  `json:"of,omitempty"`      // what the budget is for, and its amount
	PlanSize float64 `json:"at"`                // planned size, at which the cost is compared with the budget
	Command  string  `json:"command,omitempty"` // command that measured the figure
	Commit   string  `json:"commit,omitempty"`  // measured commit
	Points   []Point `json:"points"`
}

// Point holds the measured values of all runs at one size.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Median returns the median, the lowest and the highest of the values. It returns zeros if there are none.
func (p Point) Median() (median, lowest, highest float64) {
	sorted := slices.Sorted(slices.Values(p.Values))
	if len(sorted) == 0 {
		return 0, 0, 0
	}
	return sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]
}

// Read reads a figure from a file and checks it. The error wraps ErrFigure if the file can be decoded
// but holds no valid figure.
func Read(path string) (*Figure, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f Figure
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("decode figure %s: %w", path, err)
	}
	if f.Name == "" || filepath.Base(f.Name) != f.Name || len(f.Points) == 0 || len(f.Points) > maxPoints {
		return nil, fmt.Errorf("%s: %w: name %q, %d points; expected a file name without directory and 1 to %d points", path, ErrFigure, f.Name, len(f.Points), maxPoints)
	}
	for _, p := range f.Points {
		if !(p.Size > 0) || len(p.Values) == 0 || len(p.Values) > maxPoints {
			return nil, fmt.Errorf("%s: %w: point of size %g with %d values; expected a size above 0 and 1 to %d values", path, ErrFigure, p.Size, len(p.Values), maxPoints)
		}
	}
	return &f, nil
}

// write writes the figure to NAME.json in a directory.
func (f Figure) write(dir string) error {
	text, err := json.MarshalIndent(&f, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, f.Name+".json"), append(text, '\n'), 0o644)
}
