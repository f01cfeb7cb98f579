// Package dynamo implements storage.Table over the DynamoDB API.
//
// The table has the string keys "pk" and "sk" and the attributes "value" (binary), "version" (number) and "write_id"
// (string). Reads are strongly consistent. Each call has a deadline.
//
// A failed write is reported as storage.ErrUnavailable only if it is certain that it was not applied: its context had ended
// before the call, the connection could not be established, or the service rejected the request with a 4xx status other than
// TransactionInProgressException. A timeout, a broken connection and a 5xx status are reported as
// storage.ErrUnknownOutcome. A write is sent at most twice, both times with the same ClientRequestToken, by which the service
// recognises the repeat. The SDK's own retries are off for writes, because its error describes only the last attempt, and an
// earlier attempt may have been applied.
package dynamo
