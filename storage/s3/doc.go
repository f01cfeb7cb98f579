// Package s3 implements storage.ObjectStore over the S3 API with path-style addressing. Each call has a deadline. Objects
// are at most MaxObjectBytes.
package s3
