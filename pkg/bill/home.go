package bill

import "github.com/cespare/xxhash/v2"

// Home returns the VM that keeps the given key, by rendezvous hashing; empty when there is no VM.
func Home(key string, vms []string) string {
	home := ""
	var most uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(key + "\x00" + vm)
		if home == "" || score > most || (score == most && vm < home) {
			home = vm
			most = score
		}
	}
	return home
}
