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

// What the dev command serves.
const (
	devModel    = "demo-writer"
	devAPIKey   = "demo-key"
	devAdminKey = "demo-admin-key"
	devPrepaid  = 1_000_000 // Tokens.
	devDrain    = 10 * time.Second
)

func devCommand() *cli.Command {
	return &cli.Command{
		Name:  "dev",
		Usage: "run a router with stand-ins in one process and print a command to try",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "listen", Usage: "`ADDRESS` of the router; port 0 takes a free one", Value: "127.0.0.1:0"},
		},
		Action: runDev,
	}
}

func runDev(ctx context.Context, c *cli.Command) error {
	ln, err := listen(c.String("listen"))
	if err != nil {
		return err
	}
	tree, err := devTree(ln.Addr().String())
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
	if err := printDev(c, r.Address()); err != nil {
		return err
	}
	<-ctx.Done()
	limited, cancel := context.WithTimeout(context.Background(), devDrain)
	defer cancel()
	return r.Shutdown(limited)
}

// printDev prints the commands to try; the curl line stands alone, so that it can be copied.
func printDev(c *cli.Command, address string) error {
	_, err := fmt.Fprintf(c.Root().Writer, `curl -sN http://%s/v1/chat/completions -H 'Authorization: Bearer %s' -H 'Content-Type: application/json' -d '{"model":"%s","stream":true,"max_tokens":40,"messages":[{"role":"user","content":"Write a short note on silver links"}]}'
# orders: curl -s http://%s/v1/services/orders/place -H 'Authorization: Bearer %s' -H 'Idempotency-Key: order-1' -d '{"Links":12}'
# status: foxtaillanding status --router %s --admin-key %s
`, address, devAPIKey, devModel, address, devAPIKey, address, devAdminKey)
	return err
}

// devTree starts the stand-ins and returns settings that name them and the router's address.
func devTree(address string) (settings.Tree, error) {
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
