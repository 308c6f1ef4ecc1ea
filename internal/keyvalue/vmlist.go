package keyvalue

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// VMsPath is the HTTP path of the platform's VM list.
const VMsPath = "/VMs"

// VMList is the platform's list of VMs, which lags behind the actual state.
type VMList struct {
	Live    []string
	Leaving []string
}

// ReadVMList fetches the VM list from address, which is a host and port.
func ReadVMList(client *fasthttp.Client, address string) (VMList, error) {
	var list VMList
	status, body, err := client.GetTimeout(nil, "http://"+address+VMsPath, time.Second)
	if err != nil {
		return list, errors.Wrap(err, "reading the VM list")
	}
	if status != fasthttp.StatusOK {
		return list, errors.Newf("reading the VM list: status %d", status)
	}
	return list, errors.Wrap(json.Unmarshal(body, &list), "decoding the VM list")
}
