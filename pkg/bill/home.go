package bill

import "github.com/cespare/xxhash/v2"

// Home returns the home VM of a key, by rendezvous hashing, or "" if vms is empty.
func Home(key string, vms []string) string {
	home := ""
	var highest uint64
	for _, vm := range vms {
		score := xxhash.Sum64String(key + "\x00" + vm)
		if home == "" || score > highest || (score == highest && vm < home) {
			home = vm
			highest = score
		}
	}
	return home
}
