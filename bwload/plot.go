package bwload

import (
	"time"

	"github.com/samber/oops"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth     = 16 * vg.Centimeter
	plotHeight    = 10 * vg.Centimeter
	plotQuantiles = 100
)

// Plot writes a PNG file with the latency quantiles of each profile.
func Plot(reports []*ProfileReport, file string) error {
	p := plot.New()
	p.Title.Text = "Latency of requests that ran"
	p.X.Label.Text = "quantile (%)"
	p.Y.Label.Text = "milliseconds"
	for i, r := range reports {
		if r.ran == 0 {
			continue
		}
		points := make(plotter.XYs, plotQuantiles)
		for q := range points {
			points[q].X = float64(q + 1)
			points[q].Y = float64(r.Latency(float64(q+1))) / float64(time.Millisecond)
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return oops.In("bwload").Wrapf(err, "plot %s", r.profile)
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(r.profile, line)
	}
	return oops.In("bwload").Wrapf(p.Save(plotWidth, plotHeight, file), "write %s", file)
}
