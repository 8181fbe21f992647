package cost

import (
	"encoding/json"
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"slices"
)

// maxPoints bounds the points of a figure, and the values of a point.
const maxPoints = 64

// ErrFigure is the error of Read for a file that does not hold a figure.
var ErrFigure = errors.New("not a figure")

// Figure is one cost against one size.
type Figure struct {
	Name     string  `json:"name"`             // of the file, without its ending
	Title    string  `json:"title"`            // what is measured
	XLabel   string  `json:"x"`                // unit of the sizes
	YLabel   string  `json:"y"`                // unit of the values
	Budget   float64 `json:"budget,omitempty"` // in the unit of the values; 0: none
	BudgetOf string  `json:"of,omitempty"`     // what the budget is
	PlanSize float64 `json:"at"`               // size at which the fleet runs
	Command  string  `json:"command,omitempty"`
	Commit   string  `json:"commit,omitempty"`
	Points   []Point `json:"points"`
}

// Point is all runs at one size.
type Point struct {
	Size   float64   `json:"size"`
	Values []float64 `json:"values"`
}

// Median returns the median of the values, the least and the greatest; zeros without values.
func (p Point) Median() (median, lowest, highest float64) {
	sorted := slices.Sorted(slices.Values(p.Values))
	if len(sorted) == 0 {
		return 0, 0, 0
	}
	return sorted[len(sorted)/2], sorted[0], sorted[len(sorted)-1]
}

// Read reads a figure from its file. The error is ErrFigure for a file with other content.
func Read(path string) (*Figure, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return nil, err
	}
	var f Figure
	if err := json.Unmarshal(text, &f); err != nil {
		return nil, fmt.Errorf("%s: %w", path, err)
	}
	if f.Name == "" || filepath.Base(f.Name) != f.Name || len(f.Points) == 0 || len(f.Points) > maxPoints {
		return nil, fmt.Errorf("%s: %w: expected a name of a file and 1 to %d points", path, ErrFigure, maxPoints)
	}
	for _, p := range f.Points {
		if !(p.Size > 0) || len(p.Values) == 0 || len(p.Values) > maxPoints {
			return nil, fmt.Errorf("%s: %w: a point needs a size above 0 and 1 to %d values", path, ErrFigure, maxPoints)
		}
	}
	return &f, nil
}

// write writes a figure to its file in a directory.
func (f Figure) write(dir string) error {
	text, err := json.MarshalIndent(&f, "", " ")
	if err != nil {
		return err
	}
	return os.WriteFile(filepath.Join(dir, f.Name+".json"), append(text, '\n'), 0o644)
}
