package dynamo

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"time"

	"github.com/aws/aws-sdk-go-v2/aws"
	"github.com/aws/aws-sdk-go-v2/aws/retry"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb"
	"github.com/aws/aws-sdk-go-v2/service/dynamodb/types"
	"github.com/aws/smithy-go"
	smithyhttp "github.com/aws/smithy-go/transport/http"

	"github.com/bronzeyard/bronzeyard/storage"
	"github.com/bronzeyard/bronzeyard/storage/cleanclose"
)

// Options of a Table.
type Options struct {
	// Endpoint is the URL of the service. Required.
	Endpoint string
	// Region is part of the signature. Default "us-east-1".
	Region string
	// TableName is required.
	TableName   string
	Credentials aws.CredentialsProvider
	// HTTPClient is the client to use. Default: a new client without a proxy.
	HTTPClient *http.Client
	// CallTimeout bounds a call whose context has a later deadline or none. Default 2 s.
	CallTimeout time.Duration
}

const (
	defaultRegion       = "us-east-1"
	defaultCallTimeout  = 2 * time.Second
	maxReadAttempts     = 2
	maxWriteAttempts    = 2
	maxRetryDelay       = 100 * time.Millisecond
	maxIdleConnsPerHost = 16
	idleConnTimeout     = 30 * time.Second
)

// Names of attributes.
const (
	attributePartition = "pk"
	attributeSort      = "sk"
	attributeValue     = "value"
	attributeVersion   = "version"
	attributeWriteID   = "write_id"
)

// Table is a storage.Table. It is safe for concurrent use.
type Table struct {
	client  *dynamodb.Client
	http    *http.Client
	name    string
	timeout time.Duration
}

// New returns a table. It makes no request.
func New(options Options) *Table {
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
	client := dynamodb.New(dynamodb.Options{
		BaseEndpoint: aws.String(options.Endpoint),
		Region:       options.Region,
		Credentials:  options.Credentials,
		HTTPClient:   options.HTTPClient,
		Retryer: retry.NewStandard(func(o *retry.StandardOptions) {
			o.MaxAttempts = maxReadAttempts
			o.MaxBackoff = maxRetryDelay
		}),
	})
	return &Table{client: client, http: options.HTTPClient, name: options.TableName, timeout: options.CallTimeout}
}

// Get implements storage.Table.
func (t *Table) Get(ctx context.Context, key storage.Key) (storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	output, err := t.client.GetItem(ctx, &dynamodb.GetItemInput{
		TableName: &t.name, Key: keyAttributes(key), ConsistentRead: aws.Bool(true),
	})
	if err != nil {
		return storage.Item{}, t.unavailable(err)
	}
	if len(output.Item) == 0 {
		return storage.Item{}, storage.ErrNotFound
	}
	return decodeItem(output.Item)
}

// Query implements storage.Table. The service limits the size of a page, so one query may take several requests.
func (t *Table) Query(ctx context.Context, partition, after string, limit int) ([]storage.Item, error) {
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	condition, values := "pk = :pk", map[string]types.AttributeValue{":pk": text(partition)}
	if after != "" { // The service rejects an empty string as the value of a key.
		condition += " AND sk > :after"
		values[":after"] = text(after)
	}
	var items []storage.Item
	var start map[string]types.AttributeValue
	for len(items) < limit {
		output, err := t.client.Query(ctx, &dynamodb.QueryInput{
			TableName: &t.name, ConsistentRead: aws.Bool(true), ExclusiveStartKey: start, Limit: aws.Int32(int32(limit - len(items))),
			KeyConditionExpression: &condition, ExpressionAttributeValues: values,
		})
		if err != nil {
			return nil, t.unavailable(err)
		}
		for _, attributes := range output.Items {
			item, err := decodeItem(attributes)
			if err != nil {
				return nil, err
			}
			items = append(items, item)
		}
		start = output.LastEvaluatedKey
		if len(start) == 0 {
			break
		}
	}
	return items, nil
}

// Transact implements storage.Table.
func (t *Table) Transact(ctx context.Context, writes []storage.Write) error {
	if err := ctx.Err(); err != nil {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	ctx, cancel := context.WithTimeout(ctx, t.timeout)
	defer cancel()
	input, err := t.transaction(writes)
	if err != nil {
		return err
	}
	var inDoubt error
	for range maxWriteAttempts {
		_, err := t.client.TransactWriteItems(ctx, input, withoutRetries)
		if err == nil {
			return nil
		}
		err = writeError(err, writes)
		var conflict *storage.ConflictError
		if errors.As(err, &conflict) {
			return err
		}
		if !errors.Is(err, storage.ErrUnknownOutcome) {
			if inDoubt != nil {
				return inDoubt
			}
			return err
		}
		t.http.CloseIdleConnections()
		inDoubt = err
		if ctx.Err() != nil {
			break
		}
	}
	return inDoubt
}

// unavailable wraps an error in storage.ErrUnavailable. It also closes idle connections: after a network fault they may all
// be unresponsive, and each would cost one timeout.
func (t *Table) unavailable(err error) error {
	t.http.CloseIdleConnections()
	return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
}

func withoutRetries(o *dynamodb.Options) { o.Retryer = aws.NopRetryer{} }

// writeError classifies the error of a failed transaction. It returns a *storage.ConflictError, or an error that wraps
// storage.ErrUnavailable if nothing was applied and storage.ErrUnknownOutcome if the writes may have been applied.
func writeError(err error, writes []storage.Write) error {
	var canceled *types.TransactionCanceledException
	if errors.As(err, &canceled) {
		for i, reason := range canceled.CancellationReasons {
			if aws.ToString(reason.Code) == "ConditionalCheckFailed" && i < len(writes) {
				return &storage.ConflictError{Index: i, Key: writes[i].Key}
			}
		}
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	var opErr *net.OpError
	if errors.As(err, &opErr) && opErr.Op == "dial" {
		return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
	}
	var inProgress *types.TransactionInProgressException
	var apiErr smithy.APIError
	var response *smithyhttp.ResponseError
	if errors.As(err, &apiErr) && errors.As(err, &response) && !errors.As(err, &inProgress) {
		if status := response.HTTPStatusCode(); status >= http.StatusBadRequest && status < http.StatusInternalServerError {
			return fmt.Errorf("%w: %w", storage.ErrUnavailable, err)
		}
	}
	return fmt.Errorf("%w: %w", storage.ErrUnknownOutcome, err)
}

func text(s string) types.AttributeValue { return &types.AttributeValueMemberS{Value: s} }

func number(n uint64) types.AttributeValue {
	return &types.AttributeValueMemberN{Value: strconv.FormatUint(n, 10)}
}

func keyAttributes(key storage.Key) map[string]types.AttributeValue {
	return map[string]types.AttributeValue{attributePartition: text(key.Partition), attributeSort: text(key.Sort)}
}
