package burn

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

var start = time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)

func TestMergedRatesOfBothWindows(t *testing.T) {
	var a, b Recorder
	s := Series{"assay", "hallmark-writer", FirstToken}
	for i := range 90 {
		a.Record(start, s, 95, i >= 9)
	}
	later := start.Add(30 * time.Minute)
	for range 10 {
		b.Record(later, s, 95, true)
	}
	report := Merge([][]Row{a.Rows(later), b.Rows(later)}, []string{"kal-south-2"})
	require.Equal(t, []string{"kal-south-2"}, report.Missing)
	row := report.Rows[0]
	require.Equal(t, Counts{10, 0}, row.Short)
	require.Equal(t, Counts{91, 9}, row.Long)
	require.InDelta(t, 1.8, row.Rate(row.Long), 1e-9)
	require.InDelta(t, -0.8, row.ErrorBudgetLeft(), 1e-9)
	require.Zero(t, row.Rate(row.Short))
	expired := a.Rows(start.Add(2 * time.Hour))[0]
	require.Zero(t, expired.Long)
}
