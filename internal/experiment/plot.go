package experiment

import (
	"path/filepath"

	"github.com/zeebo/errs/v2"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	// Registers the format of the plots.
	_ "gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth  = 22 * vg.Centimeter
	plotHeight = 11 * vg.Centimeter
	barWidth   = vg.Centimeter / 2
)

func (s *siteSummary) idlePlot() string    { return s.name + "-idle.svg" }
func (s *siteSummary) latencyPlot() string { return s.name + "-live.svg" }

// plot writes the site's plots into the folder.
func (s *siteSummary) plot(folder string) error {
	bars, err := s.idleBars()
	if err != nil {
		return errs.Wrap(err)
	}
	curves, err := s.latencyCurves()
	if err != nil {
		return errs.Wrap(err)
	}
	return errs.Combine(
		bars.Save(plotWidth, plotHeight, filepath.Join(folder, s.idlePlot())),
		curves.Save(plotWidth, plotHeight, filepath.Join(folder, s.latencyPlot())),
	)
}

// idleBars shows the share of their time for which trainers were idle.
func (s *siteSummary) idleBars() (*plot.Plot, error) {
	var shares plotter.Values
	var names []string
	for _, p := range s.policies {
		mean, _ := p.spread(func(r Result) float64 { return r.IdleShare })
		shares = append(shares, mean)
		names = append(names, p.name)
	}
	chart, err := plotter.NewBarChart(shares, barWidth)
	if err != nil {
		return nil, err
	}
	chart.Color = plotutil.Color(2)
	picture := plot.New()
	picture.Title.Text = s.name + ": trainer idle share"
	picture.Y.Min = 0
	picture.Add(chart)
	picture.NominalX(names...)
	picture.X.Tick.Label.Rotation = 0.5
	picture.X.Tick.Label.XAlign = -0.8
	return picture, nil
}

// latencyCurves shows the distribution of live latencies of the first seed.
func (s *siteSummary) latencyCurves() (*plot.Plot, error) {
	picture := plot.New()
	picture.Title.Text = s.name + ": live latency under training load"
	picture.X.Label.Text = "ms"
	picture.Y.Label.Text = "share of requests"
	picture.Legend.Top = false
	for i, p := range s.policies {
		quantiles := p.results[0].LiveQuantilesMS
		points := make(plotter.XYs, len(quantiles))
		for k, value := range quantiles {
			points[k] = plotter.XY{X: value, Y: float64(k) / QuantileSteps}
		}
		// The last point is the largest of all requests and would squeeze the
		// rest.
		line, err := plotter.NewLine(points[:len(points)-1])
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
		picture.Add(line)
		picture.Legend.Add(p.name, line)
	}
	return picture, nil
}
