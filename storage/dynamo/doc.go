// Package dynamo implements storage.Table over the DynamoDB API.
//
// The table has the string keys "pk" and "sk" and the attributes "value" (binary), "version" (number) and "write_id"
// (string). Reads are strongly consistent. Each call has a deadline.
//
// A write that fails is reported as storage.ErrUnavailable only if it is certain that it was not applied: the
// connection could not be made, or the service refused the request with a status of 4xx. A timeout, a broken connection
// and a status of 5xx are storage.ErrUnknownOutcome. A write is sent at most twice, with the same ClientRequestToken, so
// that the service itself recognises the repeat. The SDK's own retries are off for writes, because its error names only
// the last attempt, and an earlier one may have been applied.
package dynamo
