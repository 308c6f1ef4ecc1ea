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

// operator calls the routers as an operator.
type operator struct {
	routers []string // Addresses, tried in order.
	key     string
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

func operatorFlags(more ...cli.Flag) []cli.Flag {
	key := &cli.StringFlag{
		Name:     "admin-key",
		Usage:    "the operators' `KEY`",
		Sources:  cli.EnvVars("FOXTAILLANDING_ADMIN_KEY"),
		Required: true,
	}
	return append([]cli.Flag{routerFlag(), key}, more...)
}

func newOperator(c *cli.Command) *operator {
	const maxConns = 8
	return &operator{
		routers: c.StringSlice("router"),
		key:     c.String("admin-key"),
		http:    keyvalue.NewHTTPClient(operatorTimeout, maxConns),
	}
}

// response is an answer of a router.
type response struct {
	body         []byte
	revision     string
	pathRevision string
}

// call asks the first router that can be reached.
//
// A call whose answer is lost is not repeated elsewhere: the error says so, and the operator repeats it with the same ID.
func (o *operator) call(method, path string, body []byte) (response, error) {
	var last error
	for _, address := range o.routers {
		answer, sent, err := o.callOne(address, method, path, body)
		if err == nil || sent {
			return answer, err
		}
		last = err
	}
	return response{}, last
}

func (o *operator) callOne(address, method, path string, body []byte) (answer response, sent bool, err error) {
	req, resp := fasthttp.AcquireRequest(), fasthttp.AcquireResponse()
	defer fasthttp.ReleaseRequest(req)
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(method)
	req.SetRequestURI("http://" + address + path)
	req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+o.key)
	req.SetBody(body)
	if err := o.http.DoTimeout(req, resp, operatorTimeout); err != nil {
		return response{}, method != fasthttp.MethodGet, errors.Wrapf(err, "calling the router at %s", address)
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		return response{}, true, refusal.Parse(resp.Body())
	}
	answer = response{
		body:         append([]byte(nil), resp.Body()...),
		revision:     string(resp.Header.Peek(operators.HeaderRevision)),
		pathRevision: string(resp.Header.Peek(operators.HeaderPathRevision)),
	}
	return answer, true, nil
}

// get asks the first router that can be reached and decodes its answer.
func (o *operator) get(path string, v any) error {
	answer, err := o.call(fasthttp.MethodGet, path, nil)
	if err != nil {
		return err
	}
	return errors.Wrap(json.Unmarshal(answer.body, v), "decoding a router's answer")
}

func printJSON(c *cli.Command, v any) error {
	text, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "encoding the output")
	}
	_, err = fmt.Fprintln(c.Root().Writer, string(text))
	return err
}
