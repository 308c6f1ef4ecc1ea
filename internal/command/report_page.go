package command

import (
	"bytes"
	"encoding/base64"
	"html/template"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"

	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
)

var burnTemplate = template.Must(template.New("burn").Parse(`<!DOCTYPE html>
<html lang="en"><head><meta charset="utf-8"><title>Service-level burn</title>
<style>body{font-family:sans-serif;margin:2em}td,th{padding:.2em .8em;text-align:right}td:first-child,th:first-child{text-align:left}</style></head><body>
<h1>Service-level burn</h1>
{{range .Report.Missing}}<p><strong>Missing:</strong> the router on {{.}} did not answer; its requests are not in this report.</p>
{{end}}<img alt="Burn rates" src="data:image/png;base64,{{.Plot}}">
<table><tr><th>Team, service, level</th><th>Target %</th><th>Events 1 h</th><th>Missed 1 h</th><th>Burn 5 min</th><th>Burn 1 h</th><th>Error budget left</th></tr>
{{range .Report.Rows}}<tr><td>{{.Team}} / {{.Service}} / {{.Level}}</td><td>{{printf "%.2f" .TargetPercent}}</td><td>{{.Long.Total}}</td><td>{{.Long.Bad}}</td><td>{{printf "%.2f" (.Rate .Short)}}</td><td>{{printf "%.2f" (.Rate .Long)}}</td><td>{{printf "%.2f" .ErrorBudgetLeft}}</td></tr>
{{end}}</table></body></html>
`))

// burnPage returns a report as an HTML page with the plot embedded, so that the page needs no other file.
func burnPage(report burn.Report) ([]byte, error) {
	image, err := burnPlot(report)
	if err != nil {
		return nil, err
	}
	var page bytes.Buffer
	err = burnTemplate.Execute(&page, struct {
		Report burn.Report
		Plot   string
	}{report, base64.StdEncoding.EncodeToString(image)})
	return page.Bytes(), errors.Wrap(err, "rendering the page")
}

// burnPlot returns a PNG with a bar chart of the burn rates of both windows.
func burnPlot(report burn.Report) ([]byte, error) {
	const (
		width, height = 24 * vg.Centimeter, 10 * vg.Centimeter
		minAxisMax    = 2    // Minimum upper end of the burn rate axis.
		legendFactor  = 1.25 // Extends the axis above the highest bar to make room for the legend.
	)
	p := plot.New()
	p.Y.Label.Text = "burn rate (1 uses the error budget up exactly)"
	p.Legend.Top = true
	p.Y.Min = 0
	p.Y.Max = minAxisMax
	var short, long plotter.Values
	var names []string
	for _, row := range report.Rows {
		short = append(short, row.Rate(row.Short))
		long = append(long, row.Rate(row.Long))
		names = append(names, row.Team+"\n"+row.Service+"\n"+string(row.Level))
	}
	if len(names) > 0 {
		if err := addBars(p, short, long); err != nil {
			return nil, err
		}
		p.NominalX(names...)
		p.Y.Max *= legendFactor
		p.X.Min, p.X.Max = -0.5, float64(len(names))-0.5
	}
	to, err := p.WriterTo(width, height, "png")
	if err != nil {
		return nil, errors.Wrap(err, "drawing the plot")
	}
	var image bytes.Buffer
	_, err = to.WriteTo(&image)
	return image.Bytes(), errors.Wrap(err, "encoding the plot")
}

// addBars adds two bars for each row, side by side: the short window on the left and the long one on the right.
func addBars(p *plot.Plot, short, long plotter.Values) error {
	const barWidth = 8 // Points.
	shortBars, err := plotter.NewBarChart(short, vg.Points(barWidth))
	if err != nil {
		return errors.Wrap(err, "drawing the bars of the short window")
	}
	longBars, err := plotter.NewBarChart(long, vg.Points(barWidth))
	if err != nil {
		return errors.Wrap(err, "drawing the bars of the long window")
	}
	shortBars.Offset = -vg.Points(barWidth / 2)
	longBars.Offset = vg.Points(barWidth / 2)
	shortBars.Color = plotutil.Color(0)
	longBars.Color = plotutil.Color(1)
	p.Add(shortBars, longBars)
	p.Legend.Add("5 minutes", shortBars)
	p.Legend.Add("1 hour", longBars)
	return nil
}
