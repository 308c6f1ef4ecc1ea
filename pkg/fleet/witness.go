package fleet

// Witnesses returns the names of the peers that may witness the accounts of a router: those that are alive in other data
// centres.
//
// The loss of one data centre then takes out either a router or its witness, but not both.
func Witnesses(self Member, peers []Member) []string {
	var names []string
	for _, p := range peers {
		if p.State == Alive && p.DataCentre != self.DataCentre {
			names = append(names, p.Name())
		}
	}
	return names
}
