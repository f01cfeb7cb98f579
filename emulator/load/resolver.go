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

// addressAnswer is the answer to GET /.well-known/bronzeyard/addresses.
type addressAnswer struct {
	Addresses   []weightedAddress `json:"addresses"`
	KeepSeconds float64           `json:"keep_seconds"`
}

type weightedAddress struct {
	Address string  `json:"address"`
	Weight  float64 `json:"weight"`
}

// AddressPath is where hosts answer which addresses a caller should use.
const AddressPath = "/.well-known/bronzeyard/addresses"

const resolveTimeout = 2 * time.Second

// resolver keeps the address answer of one customer for as long as the answer allows.
type resolver struct {
	bootstrap []string
	key       string
	client    *http.Client

	mu      sync.Mutex
	rng     *rand.Rand
	answer  addressAnswer
	expires time.Time
}

// address draws an address by weight, without those in avoid.
func (r *resolver) address(ctx context.Context, avoid map[string]bool) (string, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().After(r.expires) {
		// A failed refresh leaves the old answer in use, as a caller would.
		if err := r.refresh(ctx); err != nil && len(r.answer.Addresses) == 0 {
			return "", err
		}
	}
	if address, ok := r.draw(avoid); ok {
		return address, nil
	}
	for _, address := range r.bootstrap {
		if !avoid[address] {
			return address, nil
		}
	}
	return "", errors.New("load: no address left to try")
}

func (r *resolver) draw(avoid map[string]bool) (string, bool) {
	var total float64
	for _, a := range r.answer.Addresses {
		if !avoid[a.Address] {
			total += a.Weight
		}
	}
	point := r.rng.Float64() * total
	for _, a := range r.answer.Addresses {
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
	var last error
	for _, i := range r.rng.Perm(len(r.bootstrap)) {
		answer, err := r.ask(ctx, r.bootstrap[i])
		if err != nil {
			last = err
			continue
		}
		r.answer = answer
		r.expires = time.Now().Add(time.Duration(answer.KeepSeconds * float64(time.Second)))
		return nil
	}
	return fmt.Errorf("load: no host answers which addresses to use: %w", last)
}

func (r *resolver) ask(ctx context.Context, host string) (addressAnswer, error) {
	ctx, cancel := context.WithTimeout(ctx, resolveTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+host+AddressPath, http.NoBody)
	if err != nil {
		return addressAnswer{}, err
	}
	request.Header.Set("Authorization", "Bearer "+r.key)
	response, err := r.client.Do(request)
	if err != nil {
		return addressAnswer{}, err
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusUnauthorized {
		// The key is not valid any more: the request itself shall get that answer, from any host.
		return r.everyHost(), nil
	}
	if response.StatusCode != http.StatusOK {
		return addressAnswer{}, fmt.Errorf("load: %s answers %s", host, response.Status)
	}
	var answer addressAnswer
	if err := json.NewDecoder(response.Body).Decode(&answer); err != nil {
		return addressAnswer{}, err
	}
	if len(answer.Addresses) == 0 {
		return addressAnswer{}, fmt.Errorf("load: %s answers with no address", host)
	}
	return answer, nil
}

const unauthorizedKeepSeconds = 1

func (r *resolver) everyHost() addressAnswer {
	answer := addressAnswer{KeepSeconds: unauthorizedKeepSeconds}
	for _, address := range r.bootstrap {
		answer.Addresses = append(answer.Addresses, weightedAddress{Address: address, Weight: 1})
	}
	return answer
}
