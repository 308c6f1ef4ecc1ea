package command

import (
	"encoding/json"
	"fmt"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"
	"github.com/valyala/fasthttp"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/operators"
	"github.com/foxtaillanding/foxtaillanding/pkg/refusal"
)

const operatorTimeout = 10 * time.Second

// operatorClient sends operators' calls to the routers.
type operatorClient struct {
	routers []string // Addresses, tried in this order.
	key     string   // Admin key.
	http    *fasthttp.Client
}

func routerFlag() cli.Flag {
	return &cli.StringSliceFlag{
		Name:     "router",
		Usage:    "`ADDRESS` of a router; may be given several times",
		Sources:  cli.EnvVars("FOXTAILLANDING_ROUTERS"),
		Required: true,
	}
}

// operatorFlags returns the flags that all operators' commands have, followed by more.
func operatorFlags(more ...cli.Flag) []cli.Flag {
	key := &cli.StringFlag{
		Name:     "admin-key",
		Usage:    "admin `KEY` of the operators",
		Sources:  cli.EnvVars("FOXTAILLANDING_ADMIN_KEY"),
		Required: true,
	}
	return append([]cli.Flag{routerFlag(), key}, more...)
}

func newOperatorClient(c *cli.Command) *operatorClient {
	const maxConns = 8
	return &operatorClient{
		routers: c.StringSlice("router"),
		key:     c.String("admin-key"),
		http:    keyvalue.NewHTTPClient(operatorTimeout, maxConns),
	}
}

// response is a successful response of a router.
type response struct {
	body         []byte
	revision     string // Revision of the whole settings tree; empty if the response states none.
	pathRevision string // Revision of the subtree; empty if the response states none.
}

// call sends a request to the routers in order until one responds, and returns the response.
//
// If a request other than a GET fails, it may have taken effect, so it is not sent
// to the next router. The error is returned, and the operator retries with the same ID.
func (o *operatorClient) call(method, path string, body []byte) (response, error) {
	var lastErr error
	for _, address := range o.routers {
		resp, final, err := o.callOne(address, method, path, body)
		if err == nil || final {
			return resp, err
		}
		lastErr = err
	}
	return response{}, lastErr
}

// callOne sends a request to one router. final reports that the request must not be sent to another router, because this
// one has responded or the request may have taken effect.
func (o *operatorClient) callOne(address, method, path string, body []byte) (resp response, final bool, err error) {
	req, httpResp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(httpResp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+o.key)
	req.SetBody(body)
	if err := o.http.DoTimeout(req, httpResp, operatorTimeout); err != nil {
		return response{}, method != fasthttp.MethodGet, errors.Wrapf(err, "calling the router at %s", address)
	}
	if httpResp.StatusCode() != fasthttp.StatusOK {
		return response{}, true, refusal.Parse(httpResp.Body())
	}
	resp = response{
		body:         append([]byte(nil), httpResp.Body()...),
		revision:     string(httpResp.Header.Peek(operators.HeaderRevision)),
		pathRevision: string(httpResp.Header.Peek(operators.HeaderPathRevision)),
	}
	return resp, true, nil
}

// get fetches path from the first router that responds and decodes its JSON response into v.
func (o *operatorClient) get(path string, v any) error {
	resp, err := o.call(fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(resp.body, v), "decoding a router's response")
}

func printJSON(c *cli.Command, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the output")
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(text))
	return err
}
