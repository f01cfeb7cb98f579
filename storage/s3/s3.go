package s3

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	awss3 "github.com/aws/aws-sdk-go-v2/service/s3"
	"github.com/aws/aws-sdk-go-v2/service/s3/types"

	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/cleanclose"
)

// MaxObjectBytes bounds an object.
const MaxObjectBytes = 64 << 20

const (
	defaultRegion       = "us-east-1"
	defaultCallTimeout  = 5 * time.Second
	maxAttempts         = 2
	maxRetryDelay       = 100 * time.Millisecond
	maxIdleConnsPerHost = 16
	idleConnTimeout     = 30 * time.Second
)

// Options of an ObjectStore.
type Options struct {
	// Endpoint is the URL of the service. Required.
	Endpoint string
	// Region is part of the signature. Default "us-east-1".
	Region string
	// Bucket is required.
	Bucket      string
	Credentials aws.CredentialsProvider
	// HTTPClient is the client to use. Default: a new client without a proxy.
	HTTPClient *http.Client
	// CallTimeout bounds a call whose context has a later deadline or none. Default 5 s.
	CallTimeout time.Duration
}

// ObjectStore is a storage.ObjectStore. It is safe for concurrent use.
type ObjectStore struct {
	client  *awss3.Client
	http    *http.Client
	bucket  string
	timeout time.Duration
}

// New returns an object store. It makes no request.
func New(options Options) *ObjectStore {
	if options.Region == "" {
		options.Region = defaultRegion
	}
	if options.CallTimeout == 0 {
		options.CallTimeout = defaultCallTimeout
	}
	if options.HTTPClient == nil {
		options.HTTPClient = &http.Client{Transport: &http.Transport{
			DialContext:         cleanclose.DialContext(&net.Dialer{}),
			ForceAttemptHTTP2:   true, // as without DialContext
			MaxIdleConnsPerHost: maxIdleConnsPerHost,
			IdleConnTimeout:     idleConnTimeout,
		}}
	}
	client := awss3.New(awss3.Options{
		BaseEndpoint: aws.String(options.Endpoint),
		Region:       options.Region,
		Credentials:  options.Credentials,
		HTTPClient:   options.HTTPClient,
		UsePathStyle: true,
		// By default, the SDK sends a trailing checksum in a chunked encoding that not every service supports.
		RequestChecksumCalculation: aws.RequestChecksumCalculationWhenRequired,
		ResponseChecksumValidation: aws.ResponseChecksumValidationWhenRequired,
		Retryer: retry.NewStandard(func(o *retry.StandardOptions) {
			o.MaxAttempts = maxAttempts
			o.MaxBackoff = maxRetryDelay
		}),
	})
	return &ObjectStore{client: client, http: options.HTTPClient, bucket: options.Bucket, timeout: options.CallTimeout}
}

// Get implements storage.ObjectStore.
func (s *ObjectStore) Get(ctx context.Context, name string) (data []byte, err error) {
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	output, err := s.client.GetObject(ctx, &awss3.GetObjectInput{Bucket: &s.bucket, Key: &name})
	var missing *types.NoSuchKey
	if errors.As(err, &missing) {
		return nil, storage.ErrNotFound
	}
	if err != nil {
		return nil, s.unavailable(err)
	}
	defer func() { _ = output.Body.Close() }()
	data, err = io.ReadAll(io.LimitReader(output.Body, MaxObjectBytes+1))
	switch {
	case err != nil:
		return nil, s.unavailable(err)
	case len(data) > MaxObjectBytes:
		return nil, fmt.Errorf("s3: object %q has more than %d bytes", name, MaxObjectBytes)
	default:
		return data, nil
	}
}

// Put implements storage.ObjectStore. Repeating a Put of the same data is harmless, so every failed request is reported as
// storage.ErrUnavailable, even if the object may have been stored.
func (s *ObjectStore) Put(ctx context.Context, name string, data []byte) error {
	if len(data) > MaxObjectBytes {
		return fmt.Errorf("s3: object %q has %d bytes, at most %d are allowed", name, len(data), MaxObjectBytes)
	}
	ctx, cancel := context.WithTimeout(ctx, s.timeout)
	defer cancel()
	_, err := s.client.PutObject(ctx, &awss3.PutObjectInput{Bucket: &s.bucket, Key: &name, Body: bytes.NewReader(data)})
	if err != nil {
		return s.unavailable(err)
	}
	return nil
}

// unavailable wraps an error in storage.ErrUnavailable. It also closes idle connections: after a network fault they may all
// be unresponsive, and each would cost one timeout.
func (s *ObjectStore) unavailable(err error) error {
	s.http.CloseIdleConnections()
	return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
}
