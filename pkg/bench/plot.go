package bench

import (
	"image/color"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

const (
	plotWidth  = 7 * vg.Inch
	plotHeight = 4 * vg.Inch
)

// lineColors are the colours of the series, repeated beyond the last one.
var lineColors = []color.Color{
	color.RGBA{R: 0x1f, G: 0x77, B: 0xb4, A: 0xff},
	color.RGBA{R: 0xd6, G: 0x27, B: 0x28, A: 0xff},
	color.RGBA{R: 0x2c, G: 0xa0, B: 0x2c, A: 0xff},
	color.RGBA{R: 0x94, G: 0x67, B: 0xbd, A: 0xff},
}

// plotTimeToFirstToken draws the cumulative distribution of the time to the first
// token, one line per series, into a file whose format follows from the
// extension of path. The time axis is logarithmic, so times below 1 us are drawn
// at 1 us.
func plotTimeToFirstToken(path string, series []Series) error {
	p := plot.New()
	p.X.Label.Text = "time to the first token, ms"
	p.Y.Label.Text = "share of requests"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	for i, s := range series {
		var points plotter.XYs
		for _, b := range s.firstTokenHistogram.CumulativeDistribution() {
			points = append(points, plotter.XY{X: float64(max(b.ValueAt, 1)) / 1000, Y: b.Quantile / 100})
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = lineColors[i%len(lineColors)]
		p.Add(line)
		p.Legend.Add(s.Name, line)
	}
	p.Legend.Top = false
	p.Add(plotter.NewGrid())
	return p.Save(plotWidth, plotHeight, path)
}
