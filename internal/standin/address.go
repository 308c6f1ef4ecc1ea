package standin

import (
	"net"
	"os"
	"strconv"
	"sync/atomic"
)

// portsTried counts the ports that FreeAddress has tried in this process.
var portsTried atomic.Int64

// FreeAddress returns a loopback address that a process can listen on later.
//
// Its port lies below the ephemeral range of the kernel, so that no outgoing
// connection takes it, and each process starts its search at a different port.
func FreeAddress() string {
	const first, ports, stride = 12000, 20000, 1009
	for {
		port := first + (int64(os.Getpid())*stride+portsTried.Add(1))%ports
		address := "127.0.0.1:" + strconv.FormatInt(port, 10)
		if ln, err := net.Listen("tcp4", address); err == nil {
			_ = ln.Close()
			return address
		}
	}
}
