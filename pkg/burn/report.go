package burn

// Report holds the counts of all series, summed over routers.
type Report struct {
	Rows    []Row
	Missing []string // Names of the VMs whose routers are not included.
}

// Merge returns the report that sums the rows of each router; missing holds the VMs of routers that did not answer.
//
// The target of a series is that of the first router that has it.
func Merge(routers [][]Row, missing []string) Report {
	merged := map[Series]Row{}
	for _, rows := range routers {
		for _, row := range rows {
			sum, ok := merged[row.Series]
			if !ok {
				merged[row.Series] = row
				continue
			}
			sum.Short = sum.Short.Add(row.Short)
			sum.Long = sum.Long.Add(row.Long)
			merged[row.Series] = sum
		}
	}
	report := Report{Missing: missing}
	for _, row := range merged {
		report.Rows = append(report.Rows, row)
	}
	sortRows(report.Rows)
	return report
}
