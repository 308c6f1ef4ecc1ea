package standin

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// nextPort is the port that FreeAddress tries next.
var nextPort atomic.Int64

// FreeAddress returns an address of this machine that a process can listen on later.
//
// Its port lies below the range from which the kernel takes the ports of
// outgoing connections, and processes begin at different ports.
func FreeAddress() string {
	const first, ports, spread = 12000, 20000, 37
	for {
		port := first + (int64(os.Getpid())*spread+nextPort.Add(1))%ports
		address := "127.0.0.1:" + strconv.FormatInt(port, 10)
		if ln, err := net.Listen("tcp4", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}
