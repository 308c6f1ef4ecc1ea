package command

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/foxtaillanding/foxtaillanding/pkg/burn"
)

func TestBurnReportNamesMissingRouters(t *testing.T) {
	row := burn.Row{Series: burn.Series{Team: "assay", Service: "writer", Level: burn.FirstToken}, TargetPercent: 95,
		Short: burn.Counts{Good: 8, Bad: 2}, Long: burn.Counts{Good: 95, Bad: 5}}
	report := burn.Merge([][]burn.Row{{row}}, []string{"kal-south-2"})
	require.Contains(t, burnText(report), "MISSING: the router on kal-south-2")
	require.Contains(t, burnText(report), "4.00")
	page, err := burnPage(report)
	require.NoError(t, err)
	require.Contains(t, string(page), "kal-south-2")
	require.Contains(t, string(page), "data:image/png;base64,")
	empty, err := burnPage(burn.Report{})
	require.NoError(t, err)
	require.NotEmpty(t, empty)
}
