package load

import (
	"context"
	"errors"
	"math/rand/v2"
	"net/http"
	"net/url"
	"strings"
	"sync"
	"time"

	vegeta "github.com/tsenart/vegeta/v12/lib"
)

// Options configures a run.
type Options struct {
	// Bootstrap lists caller addresses of hosts that serve the address lookup.
	Bootstrap []string
	Customers []Customer
	Routes    []Route
	// RepeatShare is the fraction of requests that repeat an earlier operation id. Default 0.
	RepeatShare float64
	// Duration is how long load is offered. Default 10 s.
	Duration time.Duration
	// Timeout limits each request. Default 10 s.
	Timeout time.Duration
	Seed    uint64
}

// Response is the result of one request: the response, or the error in Err.
type Response struct {
	Customer string
	Method   string
	Path     string
	// Operation is the operation id, empty on idempotent routes.
	Operation string
	Status    int
	Header    http.Header
	Body      string
	Start     time.Time
	Latency   time.Duration
	// Err is the error that the caller saw, empty if a response arrived.
	Err string
}

// Run offers the load and returns the responses in the order of arrival. If ctx ends first, Run returns the responses so
// far and ctx.Err().
func Run(ctx context.Context, opts Options) ([]Response, error) {
	if len(opts.Bootstrap) == 0 || len(opts.Customers) == 0 || len(opts.Routes) == 0 {
		return nil, errors.New("load: bootstrap addresses, customers and routes are required")
	}
	if opts.Duration == 0 {
		opts.Duration = 10 * time.Second
	}
	if opts.Timeout == 0 {
		opts.Timeout = 10 * time.Second
	}
	run := newRun(&opts)
	attacker := vegeta.NewAttacker(vegeta.Client(run.client), vegeta.MaxWorkers(512))
	rate := vegeta.ConstantPacer{Freq: 1, Per: requestInterval(totalRate(opts.Customers))}
	results := attacker.Attack(run.nextTarget, rate, opts.Duration, "load")
	var responses []Response
	for {
		select {
		case <-ctx.Done():
			attacker.Stop()
			return responses, ctx.Err()
		case result, open := <-results:
			if !open {
				return responses, nil
			}
			responses = append(responses, run.response(result))
		}
	}
}

type run struct {
	client *http.Client

	mu      sync.Mutex
	planner planner
}

// Query parameters that identify the request to which a result belongs.
const (
	customerParameter  = "customer"
	operationParameter = "op"
)

func newRun(opts *Options) *run {
	base := &http.Transport{MaxIdleConnsPerHost: 256, IdleConnTimeout: 30 * time.Second}
	resolvers := make(map[string]*resolver, len(opts.Customers))
	for i := range opts.Customers {
		customer := &opts.Customers[i]
		resolvers[customer.Name] = &resolver{
			bootstrap: opts.Bootstrap, key: customer.Key, client: &http.Client{Transport: base},
			rng: rand.New(rand.NewPCG(opts.Seed, uint64(i)+1)),
		}
	}
	return &run{
		client: &http.Client{Transport: &transport{resolvers: resolvers, base: base}, Timeout: opts.Timeout},
		planner: planner{
			rng: rand.New(rand.NewPCG(opts.Seed, 0)), customers: opts.Customers, routes: opts.Routes,
			repeatShare: opts.RepeatShare,
		},
	}
}

// nextTarget sets target to the next planned request.
func (r *run) nextTarget(target *vegeta.Target) error {
	r.mu.Lock()
	defer r.mu.Unlock()
	request := r.planner.next()
	query := url.Values{customerParameter: {request.customer.Name}}
	if request.operation != "" {
		query.Set(operationParameter, request.operation)
	}
	target.Method = request.route.Method
	target.URL = "http://fleet" + request.route.Path + "?" + query.Encode()
	target.Header = request.header()
	target.Body = request.body()
	return nil
}

func (r *run) response(result *vegeta.Result) Response {
	response := Response{
		Method: result.Method, Status: int(result.Code), Header: result.Headers, Body: string(result.Body),
		Start: result.Timestamp, Latency: result.Latency, Err: result.Error,
	}
	if result.Code != 0 {
		// vegeta reports a status outside 200 to 399 as an error, although the response is complete.
		response.Err = ""
	}
	parsed, err := url.Parse(result.URL)
	if err != nil {
		response.Err = err.Error()
		return response
	}
	response.Path = parsed.Path
	response.Customer = parsed.Query().Get(customerParameter)
	response.Operation = parsed.Query().Get(operationParameter)
	return response
}

// IsComplete reports whether the body is the complete response of an emulated upstream to this request.
func (r *Response) IsComplete() bool {
	return strings.HasPrefix(r.Body, r.Method+" "+r.Path+" served by ") && strings.HasSuffix(r.Body, "\n")
}
