package settings

import (
	"crypto/sha256"
	"encoding/hex"
)

// HashKey returns the SHA-256 hash of a key in hexadecimal, as stored in the settings.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}
