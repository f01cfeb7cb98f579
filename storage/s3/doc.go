// Package s3 implements storage.ObjectStore over the S3 API with path-style addresses. Each call has a deadline. Objects
// are at most MaxObjectBytes.
package s3
