package scale

import (
	"fmt"
	"io"
	"strconv"
	"strings"
	"text/tabwriter"
	"time"
)

// displayPrecision is the precision with which the duration of a run is shown.
const displayPrecision = 100 * time.Millisecond

var columns = []string{"case", "quantity", "value", "unit", "target", "met", "source", "samples"}

// WriteTable writes a result as a table for the terminal.
func WriteTable(w io.Writer, r Result) error {
	if _, err := fmt.Fprintln(w, r.title()); err != nil {
		return err
	}
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, strings.ToUpper(strings.Join(columns, "\t"))) // Flush returns write errors
	for _, f := range r.Figures {
		fmt.Fprintln(table, strings.Join(f.cells(), "\t"))
	}
	if err := table.Flush(); err != nil {
		return err
	}
	for _, note := range r.Notes {
		if _, err := fmt.Fprintln(w, "note: "+note); err != nil {
			return err
		}
	}
	return nil
}

// WriteMarkdown writes a result as a table in Markdown.
func WriteMarkdown(w io.Writer, r Result) error {
	var b strings.Builder
	b.WriteString(r.title() + "\n\n")
	b.WriteString(markdownRow(columns))
	b.WriteString(strings.Repeat("| --- ", len(columns)) + "|\n")
	for _, f := range r.Figures {
		b.WriteString(markdownRow(f.cells()))
	}
	for i, note := range r.Notes {
		if i == 0 {
			b.WriteString("\n")
		}
		b.WriteString("- " + note + "\n")
	}
	_, err := io.WriteString(w, b.String())
	return err
}

func markdownRow(cells []string) string {
	escaped := make([]string, len(cells))
	for i, cell := range cells {
		escaped[i] = strings.ReplaceAll(cell, "|", `\|`)
	}
	return "| " + strings.Join(escaped, " | ") + " |\n"
}

// title returns the line above a result's table.
func (r Result) title() string {
	form := ""
	if r.Small {
		form = " (small form)"
	}
	commit := r.Commit
	if commit == "" {
		commit = "unknown"
	}
	return fmt.Sprintf("%s%s: %s, commit %s, seed %d, took %v, cores %v of %d (%s, %s)",
		r.Experiment, form, r.Started.UTC().Format(time.RFC3339), commit, r.Seed, r.Duration.Round(displayPrecision),
		r.Machine.Allowed, r.Machine.Cores, r.Machine.System, r.Machine.Go)
}

// cells returns the columns of a figure's row.
func (f Figure) cells() []string {
	target, met, samples := "", "", ""
	if f.Target != nil {
		target, met = "<= "+formatNumber(*f.Target), "yes"
		if !f.MeetsTarget() {
			met = "NO"
		}
	}
	if f.Samples > 0 {
		samples = strconv.Itoa(f.Samples)
	}
	return []string{f.Case, f.Quantity, formatNumber(f.Value), f.Unit, target, met, string(f.Source), samples}
}

// formatNumber formats a value with four significant digits, or as an integer if its magnitude is at least 1,000.
func formatNumber(x float64) string {
	const significantDigits, integerThreshold = 4, 1000
	if x >= integerThreshold || x <= -integerThreshold {
		return strconv.FormatFloat(x, 'f', 0, 64)
	}
	return strconv.FormatFloat(x, 'g', significantDigits, 64)
}
