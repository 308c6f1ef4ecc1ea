package budget

// fakeStore applies conditional writes to one record.
type fakeStore struct {
	version uint64
	record  Record
	history []Record // Earlier records, by version.
}

// stale returns the record of some versions ago, as a stale read may.
func (s *fakeStore) stale(ago int) (uint64, Record) {
	version := s.version - min(uint64(ago), s.version)
	if version == s.version {
		return version, s.record
	}
	return version, s.history[version]
}

func (s *fakeStore) put(base uint64, r Record) bool {
	if base != s.version {
		return false
	}
	s.history = append(s.history, s.record)
	s.version++
	s.record = r
	return true
}
