package local

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/settings"
)

// requestTimeout is the default request timeout of the fleet in a local deployment.
const requestTimeout = 5 * time.Second

// Tree returns the settings of a deployment with the given emulated upstreams by service.
func Tree(d *deployment.Deployment, upstreams map[string][]*upstream.Server) *settings.Tree {
	timeout := settings.Duration(requestTimeout)
	tree := &settings.Tree{
		Policy:      &settings.PolicySpec{Timeout: &timeout},
		DataCentres: make(map[string]*settings.DataCentreSpec),
		Services:    make(map[string]*settings.ServiceSpec),
		Customers:   make(map[string]*settings.CustomerSpec),
	}
	for _, name := range d.DataCentres {
		tree.DataCentres[name] = &settings.DataCentreSpec{}
	}
	for i := range d.Services {
		tree.Services[d.Services[i].Name] = service(d, &d.Services[i], upstreams[d.Services[i].Name])
	}
	for _, customer := range d.Customers {
		tree.Customers[customer.Name] = &settings.CustomerSpec{
			Rate: settings.Rate(customer.Rate), Burst: customer.Burst,
			Keys: settings.KeyList{{ID: "first", Hash: settings.HashKey(Key(customer.Name))}},
		}
	}
	return tree
}

func service(d *deployment.Deployment, s *deployment.Service, upstreams []*upstream.Server) *settings.ServiceSpec {
	spec := &settings.ServiceSpec{
		Upstreams: make(map[string]*settings.UpstreamSpec),
		Routes: map[string]*settings.RouteSpec{
			"all": {PathPrefix: "/" + s.Name, Policy: &settings.PolicySpec{Idempotent: &s.Idempotent}},
		},
	}
	if !s.Idempotent {
		// The fleet is new, so no operation can have been claimed before.
		claims, since := settings.ClaimsAuto, settings.Time(1)
		spec.Policy = &settings.PolicySpec{Claims: &claims, ClaimsSince: &since}
	}
	for i, server := range upstreams {
		spec.Upstreams[server.ID()] = &settings.UpstreamSpec{
			Address: server.Address(), DataCentre: d.DataCentres[i%len(d.DataCentres)],
			Slots: d.Slots, Connections: d.Connections,
		}
	}
	return spec
}

// Key returns the API key of a customer in a local deployment. It is predictable and must be used on loopback only.
func Key(customer string) string {
	sum := sha256.Sum256([]byte("local key of " + customer))
	return "local-" + hex.EncodeToString(sum[:8])
}

func hostID(d *deployment.Deployment, i int) (id, dataCentre string) {
	dataCentre = d.DataCentres[i%len(d.DataCentres)]
	return fmt.Sprintf("%s-%d", dataCentre, i/len(d.DataCentres)+1), dataCentre
}
