// Package serve runs one host process until it is asked to leave the fleet. It creates the clients of the platform's table,
// object store and host list from the configuration file.
package serve

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/credentials"
	"github.com/rs/zerolog"

	"github.com/bronzeyard/bronzeyard/host"
	"github.com/bronzeyard/bronzeyard/host/config"
	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/dynamo"
	"github.com/bronzeyard/bronzeyard/storage/httpsd"
	"github.com/bronzeyard/bronzeyard/storage/s3"
)

// Run loads the configuration file at path and serves. When ctx ends, the host leaves the fleet gracefully before Run returns.
// The error reports an invalid configuration, or a failure of the host to start, to serve or to clean up. A failure to leave
// the fleet is only logged.
func Run(ctx context.Context, path string, logOutput io.Writer) error {
	c, err := config.Load(path)
	if err != nil {
		return err
	}
	logger, err := newLogger(c, logOutput)
	if err != nil {
		return err
	}
	options, err := hostOptions(c, logger)
	if err != nil {
		return err
	}
	runCtx, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	h, err := host.New(runCtx, options)
	if err != nil {
		return err
	}
	context.AfterFunc(ctx, func() {
		leaveCtx, cancel := context.WithTimeout(runCtx, h.LeaveTimeout())
		defer cancel()
		if err := h.Leave(leaveCtx); err != nil {
			logger.Warn().Err(err).Msg("the host did not leave the fleet completely")
		}
		stop()
	})
	return errors.Join(h.Run(runCtx), h.Cleanup())
}

func newLogger(c *config.Config, output io.Writer) (zerolog.Logger, error) {
	level, err := zerolog.ParseLevel(c.LogLevel)
	if err != nil {
		return zerolog.Nop(), err
	}
	return zerolog.New(output).Level(level).With().Timestamp().Str("host", c.HostID).Logger(), nil
}

func hostOptions(c *config.Config, logger zerolog.Logger) (host.Options, error) {
	options := host.Options{Config: c, Logger: logger}
	provider, err := platformCredentials(&c.Platform.Credentials)
	if err != nil {
		return options, err
	}
	options.Table = dynamo.New(dynamo.Options{
		Endpoint: c.Platform.Table.Endpoint, Region: c.Platform.Table.Region, TableName: c.Platform.Table.Name,
		Credentials: provider,
	})
	options.Objects = s3.New(s3.Options{
		Endpoint: c.Platform.Objects.Endpoint, Region: c.Platform.Objects.Region, Bucket: c.Platform.Objects.Bucket,
		Credentials: provider,
	})
	options.HostList = hostList(c.Platform.HostList)
	return options, nil
}

func hostList(url string) storage.HostList {
	if url == "" {
		return nil
	}
	return httpsd.New(httpsd.Options{URL: url})
}

func platformCredentials(c *config.Credentials) (aws.CredentialsProvider, error) {
	if c.SecretFile == "" {
		return credentials.NewStaticCredentialsProvider(c.AccessKeyID, "none", ""), nil
	}
	secret, err := os.ReadFile(c.SecretFile)
	if err != nil {
		return nil, fmt.Errorf("platform.credentials.secret_file: %w", err)
	}
	return credentials.NewStaticCredentialsProvider(c.AccessKeyID, strings.TrimSpace(string(secret)), ""), nil
}
