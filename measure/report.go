package measure

import (
	"fmt"
	"io"
	"slices"
	"strings"
	"text/tabwriter"
	"time"
)

// Report is the result of one measurement.
type Report struct {
	Command string   `json:"command"`
	Seed    uint64   `json:"seed"`
	Columns []string `json:"columns"`
	// Labels are the row labels; they are empty if the first column identifies the rows.
	Labels []string `json:"labels,omitempty"`
	Rows   []Row    `json:"rows"`
	Slopes []Slope  `json:"slopes,omitempty"`
	Notes  []string `json:"notes,omitempty"`
}

// Row holds the figures of one row by column.
type Row map[string]float64

// Slope is the least-squares fit of a column against the first column.
type Slope struct {
	Column    string  `json:"column"`
	Intercept float64 `json:"intercept"`
	PerUnit   float64 `json:"per_unit"`
}

// Fit adds the least-squares fit of a column against the first column to the report.
func (r *Report) Fit(column string) {
	x := r.Columns[0]
	var n, sx, sy, sxx, sxy float64
	for _, row := range r.Rows {
		n++
		sx += row[x]
		sy += row[column]
		sxx += row[x] * row[x]
		sxy += row[x] * row[column]
	}
	d := n*sxx - sx*sx
	if d == 0 {
		return
	}
	slope := (n*sxy - sx*sy) / d
	r.Slopes = append(r.Slopes, Slope{Column: column, Intercept: (sy - slope*sx) / n, PerUnit: slope})
}

// Print writes the report as a table.
func (r *Report) Print(w io.Writer) {
	_, _ = fmt.Fprintf(w, "%s (seed %d)\n", r.Command, r.Seed)
	tw := tabwriter.NewWriter(w, 0, 0, 2, ' ', tabwriter.AlignRight)
	label := func(int) string { return "" }
	if len(r.Labels) == len(r.Rows) && len(r.Rows) > 0 {
		label = func(i int) string { return r.Labels[i] + "\t" }
		_, _ = fmt.Fprint(tw, "\t")
	}
	_, _ = fmt.Fprintln(tw, strings.Join(r.Columns, "\t")+"\t")
	for i, row := range r.Rows {
		_, _ = fmt.Fprint(tw, label(i))
		for _, c := range r.Columns {
			_, _ = fmt.Fprintf(tw, "%.4g\t", row[c])
		}
		_, _ = fmt.Fprintln(tw)
	}
	_ = tw.Flush()
	for _, s := range r.Slopes {
		_, _ = fmt.Fprintf(w, "%s = %.4g + %.4g x %s\n", s.Column, s.Intercept, s.PerUnit, r.Columns[0])
	}
	for _, n := range r.Notes {
		_, _ = fmt.Fprintln(w, n)
	}
}

// quantile returns the q-th quantile of durations.
func quantile(ds []time.Duration, q float64) time.Duration {
	if len(ds) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(ds))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func quantileFloat(fs []float64, q float64) float64 {
	if len(fs) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(fs))
	return sorted[min(int(q*float64(len(sorted))), len(sorted)-1)]
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }
