package connection

import (
	"net/netip"

	"github.com/cockroachdb/errors"
)

const maxAddress = 64 // Bytes of an IP address and a port.

// CheckAddress returns an error unless address is an IP address and a port that a connection can be opened to.
//
// Host names are errors, because looking one up may block.
func CheckAddress(address string) error {
	if len(address) > maxAddress {
		return errors.Newf("address is longer than %d bytes", maxAddress)
	}
	a, err := netip.ParseAddrPort(address)
	switch {
	case err != nil:
		return errors.Newf("address %q is not IP:PORT", address)
	case a.Port() == 0:
		return errors.Newf("address %q has port 0", address)
	case a.Addr().IsUnspecified() || a.Addr().IsMulticast():
		return errors.Newf("address %q does not name one host", address)
	}
	return nil
}
