package burn

// Report is the state of all series over all routers.
type Report struct {
	Rows    []Row
	Missing []string // VMs whose routers did not answer.
}

// Merge sums the rows of all routers that answered; missing names the others.
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
