// Package bounds compares the figures of experiments with their targets. The targets are in bounds.json. They come from the
// requirements and never from measured figures.
package bounds

import (
	_ "embed"
	"encoding/json"
	"fmt"
	"io"
	"strconv"
	"text/tabwriter"
)

//go:embed bounds.json
var boundsJSON []byte

// Bound is the target of one figure.
type Bound struct {
	Experiment string `json:"experiment"`
	Figure     string `json:"figure"`
	Unit       string `json:"unit"`
	// Max and Min are inclusive limits of the value. A nil limit does not apply.
	Max *float64 `json:"max,omitempty"`
	Min *float64 `json:"min,omitempty"`
	// Counting marks a bound on a count of violated invariants. Its violation fails a run. Other figures depend on the
	// machine, and a missed target is only reported.
	Counting bool `json:"counting,omitempty"`
}

// Figure is one measured value.
type Figure struct {
	Experiment string  `json:"experiment"`
	Deployment string  `json:"deployment"`
	Name       string  `json:"figure"`
	Value      float64 `json:"value"`
	// Baselines are the values of simpler methods in the same run, by name.
	Baselines map[string]float64 `json:"baselines,omitempty"`
}

// Row is a figure with its target.
type Row struct {
	Figure
	// Bound is nil if the figure has no target.
	Bound *Bound `json:"target,omitempty"`
	// Within reports whether the value meets the target. True without a target.
	Within bool `json:"within"`
}

// Load returns the targets from bounds.json. It returns an error if the file is not valid JSON.
func Load() ([]Bound, error) {
	var content struct {
		Bounds []Bound `json:"bounds"`
	}
	if err := json.Unmarshal(boundsJSON, &content); err != nil {
		return nil, fmt.Errorf("bounds.json: %w", err)
	}
	return content.Bounds, nil
}

// Compare returns a row for each figure, with the target of that experiment and figure.
func Compare(bounds []Bound, figures []Figure) []Row {
	rows := make([]Row, len(figures))
	for i, figure := range figures {
		rows[i] = Row{Figure: figure, Within: true}
		for b := range bounds {
			bound := &bounds[b]
			if bound.Experiment == figure.Experiment && bound.Figure == figure.Name {
				rows[i].Bound = bound
				rows[i].Within = bound.contains(figure.Value)
			}
		}
	}
	return rows
}

func (b *Bound) contains(value float64) bool {
	return (b.Max == nil || value <= *b.Max) && (b.Min == nil || value >= *b.Min)
}

// CountViolations returns the number of counting bounds that are violated.
func CountViolations(rows []Row) int {
	violations := 0
	for i := range rows {
		if !rows[i].Within && rows[i].Bound.Counting {
			violations++
		}
	}
	return violations
}

const columnGap = 2

// Print writes the rows as a table.
func Print(w io.Writer, rows []Row) error {
	table := tabwriter.NewWriter(w, 0, 0, columnGap, ' ', 0)
	if _, err := fmt.Fprintln(table, "EXPERIMENT\tDEPLOYMENT\tFIGURE\tVALUE\tTARGET\tVERDICT\tBASELINES"); err != nil {
		return err
	}
	for i := range rows {
		row := &rows[i]
		if _, err := fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%s\t%s\t%s\n", row.Experiment, row.Deployment, row.Name,
			formatNumber(row.Value), row.Bound.formatTarget(), row.verdict(), formatBaselines(row.Baselines)); err != nil {
			return err
		}
	}
	return table.Flush()
}

func (r *Row) verdict() string {
	switch {
	case r.Bound == nil:
		return "-"
	case r.Within:
		return "ok"
	case r.Bound.Counting:
		return "BROKEN"
	default:
		return "missed"
	}
}

func (b *Bound) formatTarget() string {
	switch {
	case b == nil:
		return "-"
	case b.Max != nil:
		return "<= " + formatNumber(*b.Max) + " " + b.Unit
	default:
		return ">= " + formatNumber(*b.Min) + " " + b.Unit
	}
}

func formatNumber(value float64) string { return strconv.FormatFloat(value, 'g', 4, 64) }
