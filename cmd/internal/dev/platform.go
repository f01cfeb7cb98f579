package dev

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"time"

	"github.com/bronzeyard/bronzeyard/platform"
	"github.com/bronzeyard/bronzeyard/platform/platformtest"
)

const (
	platformRate           = 100
	platformSlots          = 4
	platformProcessingTime = 50 * time.Millisecond
	platformZone           = "north"
	// maxPlatformHosts limits the hosts to a number that one process runs easily.
	maxPlatformHosts = 16
)

// RunPlatform starts hosts on a fake of the operations platform, prints how to use them and serves until ctx ends.
func RunPlatform(ctx context.Context, options Options) error {
	if options.Hosts < 1 || options.Hosts > maxPlatformHosts {
		return fmt.Errorf("--hosts must be between 1 and %d, not %d", maxPlatformHosts, options.Hosts)
	}
	directory, err := os.MkdirTemp("", "bronzeyard-dev-")
	if err != nil {
		return err
	}
	defer func() { _ = os.RemoveAll(directory) }()
	store, err := platformtest.NewStore(ctx)
	if err != nil {
		return err
	}
	defer store.Close()
	for i, service := range []string{"look", "look", "desk", "desk"} {
		upstream, err := platformtest.NewUpstream(
			ctx, fmt.Sprintf("i-%d", i), service, platformZone, platformSlots, platformProcessingTime,
		)
		if err != nil {
			return err
		}
		defer upstream.Close()
		store.Register(upstream, "ready")
	}
	store.Configure(1, platformRate, platformtest.PublicRoute)
	return runHosts(ctx, options, store, directory)
}

// runHosts runs the hosts until ctx ends and every host has left the fleet.
func runHosts(ctx context.Context, options Options, store *platformtest.Store, directory string) error {
	output := io.Discard
	if options.Verbose {
		output = options.Log
	}
	runErrs := make(chan error, options.Hosts)
	var firstHost platformtest.HostFile
	for i := range options.Hosts {
		file := platformtest.NewHostFile(fmt.Sprintf("edge-%d", i), platformZone, store)
		if i == 0 {
			firstHost = file
		}
		path := filepath.Join(directory, file.Name+".toml")
		if err := os.WriteFile(path, []byte(file.Text()), 0o600); err != nil {
			return err
		}
		go func() { runErrs <- platform.RunWith(ctx, path, platform.Options{Output: output}) }()
	}
	_, err := fmt.Fprintf(options.Out, `%d hosts run on a stand-in of the platform

look something up:
  curl -i -H 'Host: %[2]s' -H 'Authorization: Bearer %[3]s' http://%[4]s/look/today

book something, which runs at most once for each request:
  curl -i -X POST -H 'Host: %[2]s' -H 'Authorization: Bearer %[3]s' -d '{}' http://%[4]s/book/new

ask which addresses to use, and whether the host is ready:
  curl -s 'http://%[5]s/resolve?name=%[2]s&region=r&zone=%[6]s'
  curl -i http://%[7]s/readyz

end with Ctrl-C; --verbose shows the decision log
`, options.Hosts, platformtest.Hostname, platformtest.Key, firstHost.CallerAddress, firstHost.LookupAddress, platformZone,
		firstHost.ReadinessAddress)
	for range options.Hosts {
		err = errors.Join(err, <-runErrs)
	}
	return err
}
