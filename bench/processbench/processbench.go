package processbench

import (
	"context"
	"errors"
	"net"
	"net/http"
	"os"
	"time"

	"github.com/bronzeyard/bronzeyard/emulator/deployment"
	"github.com/bronzeyard/bronzeyard/emulator/load"
	"github.com/bronzeyard/bronzeyard/emulator/local"
	"github.com/bronzeyard/bronzeyard/emulator/platformserver"
	"github.com/bronzeyard/bronzeyard/emulator/upstream"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/settings"
	"github.com/bronzeyard/bronzeyard/settings/store"
)

// Options configure a run.
type Options struct {
	// Binary is the path of the program bronzeyard. Required.
	Binary string
	// Deployment is the deployment to emulate. Required.
	Deployment *deployment.Deployment
	// Hosts is the number of host processes. Default 14.
	Hosts int
	// LoadShare is the offered load as a fraction of the customers' rates. Default 0.5.
	LoadShare float64
	// PhaseLength is the duration of the steady phases. Default 15 s.
	PhaseLength time.Duration
	// DrainTime is the drain time of the hosts. Default 11 s, longer than callers cache address responses.
	DrainTime time.Duration
	Seed      uint64
	// Progress, if set, is called at the start of each phase.
	Progress func(phase string)
}

// Phase is the result of one phase.
type Phase struct {
	Name    string       `json:"name"`
	Seconds float64      `json:"seconds"`
	Load    load.Summary `json:"load"`
	// Figures are measurements of the phase by name. The name contains the unit.
	Figures map[string]float64 `json:"figures,omitempty"`
}

// Report is the result of a run.
type Report struct {
	Deployment string  `json:"deployment"`
	Hosts      int     `json:"hosts"`
	Seed       uint64  `json:"seed"`
	Phases     []Phase `json:"phases"`
	// Total is the summary of the complete run. Operations are checked over all phases, because a repeated request may come
	// in a later phase than the first.
	Total load.Summary `json:"whole"`
}

const (
	defaultHosts       = 14
	defaultLoadShare   = 0.5
	defaultPhaseLength = 15 * time.Second
	defaultDrainTime   = 11 * time.Second
	readyTimeout       = 30 * time.Second
	shutdownTimeout    = 60 * time.Second
	repeatShare        = 0.05
	tableName          = "bronzeyard"
	bucketName         = "bronzeyard"
)

// bench is one run.
type bench struct {
	options   Options
	dir       string
	platform  *platformserver.Server
	server    *http.Server
	endpoint  string
	upstreams map[string][]*upstream.Server
	processes []*process
	customers []load.Customer
	responses []load.Response
	report    Report
}

// Run runs all phases and returns their results. An error means that the run could not be carried out. Violated invariants
// are no error: they are counted in the report.
func Run(ctx context.Context, options Options) (Report, error) {
	setDefaults(&options)
	b := &bench{
		options: options, platform: platformserver.New(), upstreams: make(map[string][]*upstream.Server),
		report: Report{Deployment: options.Deployment.Name, Hosts: options.Hosts, Seed: options.Seed},
	}
	err := b.prepare(ctx)
	if err == nil {
		err = b.runPhases(ctx)
	}
	b.report.Total = load.Check(b.responses, b.records(), b.keys())
	return b.report, errors.Join(err, b.close())
}

func setDefaults(o *Options) {
	if o.Hosts == 0 {
		o.Hosts = defaultHosts
	}
	if o.LoadShare == 0 {
		o.LoadShare = defaultLoadShare
	}
	if o.PhaseLength == 0 {
		o.PhaseLength = defaultPhaseLength
	}
	if o.DrainTime == 0 {
		o.DrainTime = defaultDrainTime
	}
	if o.Progress == nil {
		o.Progress = func(string) {}
	}
}

func (b *bench) prepare(ctx context.Context) error {
	var err error
	if b.dir, err = os.MkdirTemp("", "bronzeyard-processbench-"); err != nil {
		return err
	}
	for _, step := range []func(context.Context) error{b.startPlatform, b.startUpstreams, b.applySettings, b.startHosts} {
		if err := step(ctx); err != nil {
			return err
		}
	}
	for _, c := range b.options.Deployment.Customers {
		b.customers = append(b.customers, load.Customer{
			Name: c.Name, Key: local.Key(c.Name), Rate: c.Rate * b.options.LoadShare,
		})
	}
	return nil
}

func (b *bench) startPlatform(ctx context.Context) error {
	listener, err := listen(ctx)
	if err != nil {
		return err
	}
	b.endpoint = "http://" + listener.Addr().String()
	b.server = &http.Server{Handler: b.platform, ReadHeaderTimeout: time.Minute}
	go func() { _ = b.server.Serve(listener) }()
	return nil
}

func (b *bench) startUpstreams(context.Context) error {
	var err error
	b.upstreams, err = local.StartUpstreams(b.options.Deployment, 0, b.options.Seed)
	return err
}

func (b *bench) applySettings(ctx context.Context) error {
	edits, err := settings.Diff(&settings.Tree{}, local.Tree(b.options.Deployment, b.upstreams))
	if err != nil {
		return err
	}
	st := store.New(store.Options{Table: b.platform.Table, Objects: b.platform.Objects})
	_, err = st.Apply(ctx, store.Change{ID: "first-settings", Operator: "bench", Edits: edits})
	return err
}

func (b *bench) startHosts(ctx context.Context) error {
	configs, err := local.Configs(ctx, b.options.Deployment, b.options.Hosts)
	if err != nil {
		return err
	}
	for _, c := range configs {
		b.setPlatform(c)
		p, err := startProcess(b.options.Binary, b.dir, c)
		if err != nil {
			return err
		}
		b.processes = append(b.processes, p)
	}
	return b.waitReady(ctx, b.processes)
}

func (b *bench) setPlatform(c *config.Config) {
	c.DrainTime = config.Duration(b.options.DrainTime)
	c.Platform = config.Platform{
		Table:       config.Table{Endpoint: b.endpoint + platformserver.DynamoDBPath, Name: tableName, Region: config.DefaultRegion},
		Objects:     config.Objects{Endpoint: b.endpoint + platformserver.S3Path, Bucket: bucketName, Region: config.DefaultRegion},
		Credentials: config.Credentials{AccessKeyID: "bench"},
	}
}

func (b *bench) waitReady(ctx context.Context, processes []*process) error {
	ctx, cancel := context.WithTimeout(ctx, readyTimeout)
	defer cancel()
	for _, p := range processes {
		if err := p.waitReady(ctx); err != nil {
			return err
		}
	}
	return nil
}

func (b *bench) records() []upstream.Record {
	var records []upstream.Record
	for _, servers := range b.upstreams {
		for _, server := range servers {
			records = append(records, server.Records()...)
		}
	}
	return records
}

func (b *bench) keys() []string {
	var keys []string
	for i := range b.customers {
		keys = append(keys, b.customers[i].Key)
	}
	return keys
}

func (b *bench) bootstrap() []string {
	var addresses []string
	for _, p := range b.processes {
		addresses = append(addresses, p.config.Caller.Listen)
	}
	return addresses
}

// close ends the processes and servers that the run started. It keeps the directory with settings and logs if an error
// occurred or an invariant was violated.
func (b *bench) close() error {
	var errs []error
	for _, p := range b.processes {
		errs = append(errs, p.kill())
	}
	for _, servers := range b.upstreams {
		for _, server := range servers {
			errs = append(errs, server.Close())
		}
	}
	if b.server != nil {
		errs = append(errs, b.server.Close())
	}
	err := errors.Join(errs...)
	if err == nil && b.report.invariantsHold() {
		return os.RemoveAll(b.dir)
	}
	return err
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig
	return config.Listen(ctx, "tcp", "127.0.0.1:0")
}
