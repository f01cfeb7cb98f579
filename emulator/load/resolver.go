package load

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync"
	"time"
)

// addressResponse is the response to GET AddressPath.
type addressResponse struct {
	Addresses  []weightedAddress `json:"addresses"`
	TTLSeconds float64           `json:"keep_seconds"`
}

type weightedAddress struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// AddressPath is the path at which hosts serve the address lookup for callers.
const AddressPath = "/.well-known/bronzeyard/addresses"

const resolveTimeout = 2 * time.Second

// resolver looks up host addresses for one customer and caches the response for the TTL in it.
type resolver struct {
	bootstrap []string
	key       string
	client    *http.Client

	mu        sync.Mutex
	rng       *rand.Rand
	cached    addressResponse
	expiresAt time.Time
}

// address returns a random address, chosen by weight, that is not in avoid. If there is none, it returns a bootstrap
// address that is not in avoid.
func (r *resolver) address(ctx context.Context, avoid map[string]bool) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.expiresAt) {
		// After a failed refresh the expired response stays in use, as callers are expected to do.
		if err := r.refresh(ctx); err != nil && len(r.cached.Addresses) == 0 {
			return "", err
		}
	}
	if address, ok := r.choose(avoid); ok {
		return address, nil
	}
	for _, address := range r.bootstrap {
		if !avoid[address] {
			return address, nil
		}
	}
	return "", errors.New("load: all known addresses were tried")
}

func (r *resolver) choose(avoid map[string]bool) (string, bool) {
	var total float64
	for _, a := range r.cached.Addresses {
		if !avoid[a.Address] {
			total += a.Weight
		}
	}
	point := r.rng.Float64() * total
	for _, a := range r.cached.Addresses {
		if avoid[a.Address] {
			continue
		}
		point -= a.Weight
		if point <= 0 {
			return a.Address, true
		}
	}
	return "", false
}

func (r *resolver) refresh(ctx context.Context) error {
	var lastErr error
	for _, i := range r.rng.Perm(len(r.bootstrap)) {
		response, err := r.fetch(ctx, r.bootstrap[i])
		if err != nil {
			lastErr = err
			continue
		}
		r.cached = response
		r.expiresAt = time.Now().Add(time.Duration(response.TTLSeconds * float64(time.Second)))
		return nil
	}
	return fmt.Errorf("load: address lookup failed at all bootstrap hosts: %w", lastErr)
}

func (r *resolver) fetch(ctx context.Context, host string) (addressResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+AddressPath, http.NoBody)
	if err != nil {
		return addressResponse{}, err
	}
	request.Header.Set("Authorization", "Bearer "+r.key)
	response, err := r.client.Do(request)
	if err != nil {
		return addressResponse{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusUnauthorized {
		// The key is no longer valid. The request goes to any host, which then rejects it with this status.
		return r.allHosts(), nil
	}
	if response.StatusCode != http.StatusOK {
		return addressResponse{}, fmt.Errorf("load: address lookup at %s: status %s, want 200", host, response.Status)
	}
	var addresses addressResponse
	if err := json.NewDecoder(response.Body).Decode(&addresses); err != nil {
		return addressResponse{}, err
	}
	if len(addresses.Addresses) == 0 {
		return addressResponse{}, fmt.Errorf("load: address lookup at %s returned no address", host)
	}
	return addresses, nil
}

const unauthorizedTTLSeconds = 1

func (r *resolver) allHosts() addressResponse {
	response := addressResponse{TTLSeconds: unauthorizedTTLSeconds}
	for _, address := range r.bootstrap {
		response.Addresses = append(response.Addresses, weightedAddress{Address: address, Weight: 1})
	}
	return response
}
