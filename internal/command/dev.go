package command

import (
	"context"
	"fmt"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/foxtaillanding/foxtaillanding/internal/keyvalue"
	"github.com/foxtaillanding/foxtaillanding/internal/ledger"
	"github.com/foxtaillanding/foxtaillanding/internal/router"
	"github.com/foxtaillanding/foxtaillanding/internal/standin"
	"github.com/foxtaillanding/foxtaillanding/pkg/budget"
	"github.com/foxtaillanding/foxtaillanding/pkg/settings"
)

// Model, keys, prepaid tokens and shutdown timeout of the dev command.
const (
	devModel        = "demo-writer"
	devAPIKey       = "demo-key"
	devAdminKey     = "demo-admin-key"
	devPrepaid      = 1_000_000
	devDrainTimeout = 10 * time.Second
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a router and stand-in endpoints in one process, and print example commands",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` to listen on; port 0 selects a free port", Value: "127.0.0.1:0"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	ln, err := listen(c.String("listen"))
	if err != nil {
		return err
	}
	tree, err := startDevEndpoints(ln.Addr().String())
	if err != nil {
		return err
	}
	store := &keyvalue.Memory{}
	record, err := budget.Record{Budget: "demo"}.TopUp("initial", devPrepaid)
	if err != nil {
		return err
	}
	if err := ledger.PutRecord(ctx, store, record); err != nil {
		return err
	}
	log, err := newLog()
	if err != nil {
		return err
	}
	r, err := router.New(router.Config{VM: "dev-1", Listen: ln, Initial: tree, Store: store, Log: log})
	if err != nil {
		return err
	}
	if err := r.Start(ctx); err != nil {
		return err
	}
	if err := printDevExamples(c, r.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	shutdownCtx, cancel := context.WithTimeout(context.Background(), devDrainTimeout)
	defer cancel()
	return r.Shutdown(shutdownCtx)
}

// printDevExamples prints example commands. The first one is a line without any other text, so that it can be copied whole
// into a shell.
func printDevExamples(c *cli.Command, address string) error {
	_, err := fmt.Fprintf(c.Root().Writer, `curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Write a short note on silver links"}]}'
# orders: curl -s http://%s/v1/services/orders/place -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d '{"Links":12}'
# status: foxtaillanding status --router %s --admin-key %s
`, address, devAPIKey, devModel, address, devAPIKey, address, devAdminKey)
	return err
}

// startDevEndpoints starts the stand-in endpoints and returns the settings of a fleet that consists of them and of a router
// at address.
func startDevEndpoints(address string) (settings.Tree, error) {
	engines := []*standin.Engine{
		{TokensPerSecond: 60, FirstToken: 80 * time.Millisecond},
		{TokensPerSecond: 25, FirstToken: 200 * time.Millisecond},
	}
	fleet := settings.Fleet{
		Name:        "dev",
		PeerKey:     "dev-peer-key-0000",
		AdminSHA256: settings.HashKey(devAdminKey),
		DataCentres: []string{"dev"},
		VMs:         []settings.VM{{Name: "dev-1", DataCentre: "dev", Address: address, Size: 1}},
		Services: []settings.Service{{Name: "orders", Calls: []settings.Call{
			{Name: "place", Path: "/place"},
			{Name: "stock", Path: "/stock", Repeatable: true},
		}}},
		Limits: settings.Limits{EntryKeepSeconds: 1},
	}
	for i, e := range engines {
		s, err := standin.Serve("127.0.0.1:0", e.Handle)
		if err != nil {
			return settings.Tree{}, err
		}
		fleet.Endpoints = append(fleet.Endpoints, settings.Endpoint{
			Name: fmt.Sprintf("engine-%d", i+1), DataCentre: "dev", Address: s.Address,
			Serves: []string{devModel}, Slots: 8, TokensPerSecond: e.TokensPerSecond,
		})
	}
	s, err := standin.Serve("127.0.0.1:0", (&standin.Service{}).Handle)
	if err != nil {
		return settings.Tree{}, err
	}
	fleet.Endpoints = append(fleet.Endpoints, settings.Endpoint{
		Name: "orders-1", DataCentre: "dev", Address: s.Address, Serves: []string{"orders"}, Slots: 16,
	})
	team := settings.Team{
		Name: "demo", Budget: "demo", Class: "Interactive",
		Accounts: []settings.Account{{Name: "demo", KeySHA256: settings.HashKey(devAPIKey)}},
	}
	return settings.Tree{Fleet: fleet, Teams: []settings.Team{team}}, nil
}
