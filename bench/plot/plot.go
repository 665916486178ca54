// Package plot draws a report's figures as bars, an image a figure and a bar
// an arm.
package plot

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"

	"geraniumstack.org/geraniumstack/bench"
)

const (
	barWidth = 30 * vg.Inch / 72
	height   = 3 * vg.Inch
	perArm   = vg.Inch
	margin   = 2 * vg.Inch
)

// Write draws each figure of the report into dir; format is "svg" or "png". It
// returns the files' names.
func Write(r bench.Report, dir, format string) ([]string, error) {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return nil, fmt.Errorf("make plot directory: %w", err)
	}
	var files []string
	for _, figure := range figures(r) {
		name := filepath.Join(dir, r.Experiment+"-"+figure+"."+format)
		if err := draw(r, figure, name); err != nil {
			return files, fmt.Errorf("plot %s: %w", figure, err)
		}
		files = append(files, name)
	}
	return files, nil
}

func figures(r bench.Report) []string {
	seen := map[string]bool{}
	var names []string
	for _, a := range r.Arms {
		for name := range a.Figures {
			if !seen[name] {
				seen[name] = true
				names = append(names, name)
			}
		}
	}
	sort.Strings(names)
	return names
}

func draw(r bench.Report, figure, file string) error {
	var values plotter.Values
	var labels []string
	for _, a := range r.Arms {
		v, ok := a.Figures[figure]
		if !ok {
			continue
		}
		values = append(values, v)
		labels = append(labels, a.Name)
	}
	p := plot.New()
	p.Title.Text = r.Experiment
	p.Y.Label.Text = figure
	p.Y.Min = 0
	bars, err := plotter.NewBarChart(values, barWidth)
	if err != nil {
		return fmt.Errorf("make bars: %w", err)
	}
	p.Add(bars)
	p.NominalX(labels...)
	width := margin + perArm*vg.Length(len(labels))
	if err := p.Save(width, height, file); err != nil {
		return fmt.Errorf("save: %w", err)
	}
	return nil
}
