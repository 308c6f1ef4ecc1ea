package router

import (
	"encoding/json"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/valyala/fasthttp"
)

// vmList is the platform's list of VMs as far as a router reads it.
type vmList struct {
	Leaving []string
}

func readVMList(client *fasthttp.Client, address string) ([]string, error) {
	const path = "/VMs"
	status, body, err := client.GetTimeout(nil, "http://"+address+path, time.Second)
	if err != nil {
		return nil, err
	}
	if status != fasthttp.StatusOK {
		return nil, errors.Newf("the VM list got status %d", status)
	}
	var list vmList
	err = json.Unmarshal(body, &list)
	return list.Leaving, errors.Wrap(err, "decoding the VM list")
}
