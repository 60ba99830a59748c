package loadgen

import (
	"io"

	"github.com/wcharczuk/go-chart/v2"
)

// Plot writes a PNG chart of the offered value and the goodput in each second of the run.
func (rep *Report) Plot(w io.Writer) error {
	var x, offered, goodput []float64
	for i, s := range rep.Seconds {
		x = append(x, float64(i))
		offered = append(offered, s.Offered)
		goodput = append(goodput, s.Goodput)
	}
	c := chart.Chart{
		Title: "value per second, mix " + rep.Mix,
		XAxis: chart.XAxis{Name: "time (s)"},
		YAxis: chart.YAxis{Name: "value of requests per second"},
		Series: []chart.Series{
			chart.ContinuousSeries{Name: "offered", XValues: x, YValues: offered},
			chart.ContinuousSeries{Name: "completed in time", XValues: x, YValues: goodput},
		},
	}
	c.Elements = []chart.Renderable{chart.Legend(&c)}
	return c.Render(chart.PNG, w)
}
