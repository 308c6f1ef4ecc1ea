package settings

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 hash of a key in hexadecimal, the form in which settings hold it.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
