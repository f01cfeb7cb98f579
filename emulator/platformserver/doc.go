// Package platformserver serves the services of storage/memory over the wire formats of the platform: the DynamoDB API,
// the S3 API and HTTP service discovery, each only as far as the clients in storage use it. Requests that lie outside of
// that subset are refused, so that a client which starts to use more is noticed.
//
// Paths: /dynamodb/, /s3/BUCKET/KEY, /hosts, and /admin/faults, /admin/hosts and /admin/counts for tests and
// experiments. Signatures are not checked. An outage is answered with 503, a lost answer by closing the connection.
package platformserver
