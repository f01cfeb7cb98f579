// Package platformserver serves the services of storage/memory over the wire formats of the platform: the DynamoDB API,
// the S3 API and HTTP service discovery. Only the subset that the clients in storage use is supported. Other requests are
// rejected, which reveals a client that starts to use more.
//
// Paths: /dynamodb/, /s3/BUCKET/KEY, /hosts, and /admin/faults, /admin/hosts and /admin/counts for tests and
// experiments. Signatures are not checked. During an injected outage the server responds with status 503. For a lost
// response it closes the connection.
package platformserver
