package load

import (
	"fmt"
	"io"
	"math"
	"strconv"

	"github.com/pkg/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgimg"
)

const (
	plotWidth  = 9.5 * vg.Inch
	plotHeight = 10.5 * vg.Inch
	panelGap   = 0.4 * vg.Inch
	margin     = 0.2 * vg.Inch
	barWidth   = 0.4 * vg.Inch
)

// Plot writes a PNG image with three panels: latency over time, latency by
// quantile, and the outcomes of each target.
func (r *Report) Plot(w io.Writer) error {
	overTime, err := r.plotOverTime()
	if err != nil {
		return errors.Wrap(err, "plot over time")
	}
	byQuantile, err := r.plotByQuantile()
	if err != nil {
		return errors.Wrap(err, "plot by quantile")
	}
	outcomes, err := r.plotOutcomes()
	if err != nil {
		return errors.Wrap(err, "plot outcomes")
	}
	img := vgimg.New(plotWidth, plotHeight)
	panels := [][]*plot.Plot{{overTime}, {byQuantile}, {outcomes}}
	tiles := draw.Tiles{Rows: len(panels), Cols: 1, PadY: panelGap,
		PadTop: margin, PadBottom: margin, PadLeft: margin, PadRight: margin}
	for i, canvases := range plot.Align(panels, tiles, draw.New(img)) {
		panels[i][0].Draw(canvases[0])
	}
	_, err = vgimg.PngCanvas{Canvas: img}.WriteTo(w)
	return errors.Wrap(err, "write PNG")
}

func (t TargetReport) name() string {
	return t.Service + "/" + t.Class
}

// logScale sets a logarithmic latency axis. All latencies must be above 0.
func logScale(p *plot.Plot) {
	p.Y.Scale = plot.LogScale{}
	p.Y.Tick.Marker = plot.TickerFunc(latencyTicks)
	// Leaves space for the legend above the lines.
	p.Y.Max *= 3
	p.Y.Label.Text = "latency, ms"
	p.Legend.Top = true
	p.Legend.Left = true
	p.Add(plotter.NewGrid())
}

// latencyTicks places ticks at 1, 2 and 5 in each decade.
func latencyTicks(low, high float64) []plot.Tick {
	var ticks []plot.Tick
	for decade := math.Pow(10, math.Floor(math.Log10(low))); decade <= high; decade *= 10 {
		for _, value := range []float64{decade, 2 * decade, 5 * decade} {
			if value >= low && value <= high {
				ticks = append(ticks, plot.Tick{Value: value, Label: strconv.FormatFloat(value, 'g', -1, 64)})
			}
		}
	}
	return ticks
}

// timeTicks places ticks at each tenth of the run.
func timeTicks(low, high float64) []plot.Tick {
	const marks = 10
	var ticks []plot.Tick
	for i := 0; i <= marks; i++ {
		value := low + (high-low)*float64(i)/marks
		ticks = append(ticks, plot.Tick{Value: value, Label: strconv.FormatFloat(value, 'g', 4, 64)})
	}
	return ticks
}

func (r *Report) plotOverTime() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = fmt.Sprintf("Latency from the intended send time, %.0f requests per second", r.Offered)
	p.X.Label.Text = "time, s"
	p.X.Tick.Marker = plot.TickerFunc(timeTicks)
	step := r.Config.Duration.Seconds() / timeSlices
	drawn := false
	for i, t := range r.Targets {
		for j, percent := range []float64{50, 99} {
			var points plotter.XYs
			for s, h := range t.record.slices {
				if h.TotalCount() > 0 {
					points = append(points, plotter.XY{X: (float64(s) + 0.5) * step, Y: quantile(h, percent).Seconds() * 1e3})
				}
			}
			if len(points) == 0 {
				continue
			}
			drawn = true
			if err := addLine(p, points, i, j, fmt.Sprintf("%s p%g", t.name(), percent)); err != nil {
				return nil, err
			}
		}
	}
	p.X.Min, p.X.Max = 0, r.Config.Duration.Seconds()
	if drawn {
		logScale(p)
	}
	return p, nil
}

func (r *Report) plotByQuantile() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Latency by quantile"
	p.X.Label.Text = "share of responses"
	drawn := false
	for i, t := range r.Targets {
		total := t.record.latency.TotalCount()
		if total == 0 {
			continue
		}
		drawn = true
		// Quantiles above 1 - 1/total equal the maximum.
		last := math.Log10(float64(total))
		var points plotter.XYs
		for nines := 0.0; nines <= last; nines += 0.05 {
			percent := 100 * (1 - math.Pow(10, -nines))
			points = append(points, plotter.XY{X: nines, Y: quantile(t.record.latency, percent).Seconds() * 1e3})
		}
		if err := addLine(p, points, i, 0, t.name()); err != nil {
			return nil, err
		}
	}
	if drawn {
		logScale(p)
	}
	p.X.Tick.Marker = plot.ConstantTicks{
		{Value: 0, Label: "0"},
		{Value: math.Log10(2), Label: "50%"},
		{Value: 1, Label: "90%"},
		{Value: 2, Label: "99%"},
		{Value: 3, Label: "99.9%"},
		{Value: 4, Label: "99.99%"},
		{Value: 5, Label: "99.999%"},
	}
	return p, nil
}

func (r *Report) plotOutcomes() (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = "Outcomes"
	p.Y.Label.Text = "share of requests"
	p.Y.Min = 0
	names := make([]string, 0, len(r.Targets))
	for _, t := range r.Targets {
		names = append(names, t.name())
	}
	p.NominalX(names...)
	var below *plotter.BarChart
	for o, name := range outcomeNames {
		values := make(plotter.Values, len(r.Targets))
		drawn := false
		for i, t := range r.Targets {
			if t.Requests > 0 {
				values[i] = float64(t.Outcomes[name]) / float64(t.Requests)
			}
			drawn = drawn || values[i] > 0
		}
		if !drawn {
			continue
		}
		bars, err := plotter.NewBarChart(values, barWidth)
		if err != nil {
			return nil, errors.Wrap(err, "bars")
		}
		bars.Color = plotutil.Color(o) //nolint:misspell // gonum's names
		if below != nil {
			bars.StackOn(below)
		}
		below = bars
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	p.Y.Max = 1.25
	p.Legend.Top = true
	return p, nil
}

func addLine(p *plot.Plot, points plotter.XYs, colour, dashes int, name string) error {
	line, err := plotter.NewLine(points)
	if err != nil {
		return errors.Wrap(err, "line")
	}
	line.Color = plotutil.Color(colour) //nolint:misspell // gonum's names
	line.Dashes = plotutil.Dashes(dashes)
	line.Width = vg.Points(1.5)
	p.Add(line)
	p.Legend.Add(name, line)
	return nil
}
