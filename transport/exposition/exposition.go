// Package exposition writes a go-metrics registry in the Prometheus text format:
// https://prometheus.io/docs/instrumenting/exposition_formats/
package exposition

import (
	"fmt"
	"io"
	"net/http"
	"sort"
	"strings"

	"github.com/rcrowley/go-metrics"
)

const contentType = "text/plain; version=0.0.4"

var quantiles = []float64{0.5, 0.95, 0.99}

// Handler serves the metrics of the registry.
func Handler(r metrics.Registry) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", contentType)
		// An error means that the scraper has disconnected.
		_ = Write(w, r)
	})
}

// Write writes every metric of the registry, sorted by name. Dots, dashes, slashes and spaces in
// names become underscores.
func Write(w io.Writer, r metrics.Registry) error {
	lines := []string{}
	r.Each(func(name string, m any) { lines = append(lines, render(name, m)...) })
	sort.Strings(lines)
	if _, err := io.WriteString(w, strings.Join(lines, "")); err != nil {
		return fmt.Errorf("write metrics: %w", err)
	}
	return nil
}

var nameReplacer = strings.NewReplacer(".", "_", "-", "_", "/", "_", " ", "_")

func render(name string, m any) []string {
	name = nameReplacer.Replace(name)
	switch m := m.(type) {
	case metrics.Counter:
		return []string{fmt.Sprintf("%s %d\n", name, m.Count())}
	case metrics.Gauge:
		return []string{fmt.Sprintf("%s %d\n", name, m.Value())}
	case metrics.GaugeFloat64:
		return []string{fmt.Sprintf("%s %g\n", name, m.Value())}
	case metrics.Meter:
		return []string{fmt.Sprintf("%s_total %d\n", name, m.Count())}
	case metrics.Histogram:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	case metrics.Timer:
		s := m.Snapshot()
		return summary(name, s.Count(), float64(s.Sum()), s.Percentiles(quantiles))
	}
	return nil
}

func summary(name string, count int64, sum float64, values []float64) []string {
	lines := []string{
		fmt.Sprintf("%s_count %d\n", name, count),
		fmt.Sprintf("%s_sum %g\n", name, sum),
	}
	for i, q := range quantiles {
		lines = append(lines, fmt.Sprintf("%s{quantile=\"%g\"} %g\n", name, q, values[i]))
	}
	return lines
}
