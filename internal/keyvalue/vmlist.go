package keyvalue

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// VMsPath is where the platform lists VMs.
const VMsPath = "/VMs"

// VMList is the platform's list of VMs; it lags.
type VMList struct {
	Live    []string
	Leaving []string
}

// ReadVMList asks for the list at address, host and port.
func ReadVMList(client *fasthttp.Client, address string) (VMList, error) {
	var list VMList
	status, body, err := client.GetTimeout(nil, "http://"+address+VMsPath, time.Second)
	if err != nil {
		return list, errors.Wrap(err, "reading the VM list")
	}
	if status != fasthttp.StatusOK {
		return list, errors.Newf("the VM list got status %d", status)
	}
	return list, errors.Wrap(json.Unmarshal(body, &list), "decoding the VM list")
}
