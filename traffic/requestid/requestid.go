package requestid

import (
	"crypto/sha256"
	"encoding/hex"
	"strings"
	"unicode/utf8"

	"github.com/google/uuid"
)

// OrNew returns the id that a caller sent, or a new one if the caller sent none.
func OrNew(sent string) string {
	if sent == "" {
		return uuid.NewString()
	}
	return sent
}

const (
	// maxLoggedBytes is the maximum length of an id in a log line, in bytes.
	maxLoggedBytes = 128
	// digestBytes is the length of the hash at the end of a shortened id, in bytes.
	digestBytes = 8
	// digestMark precedes the hash.
	digestMark = "...sha256:"
	// prefixBytes is the length of the part of a long id that log lines hold, in bytes.
	prefixBytes = maxLoggedBytes - len(digestMark) - 2*digestBytes
)

// ForLog returns the form of an id that log lines hold: the id itself, or the beginning and a hash of one that is long or not valid UTF-8,
// so that its lines can be found by the id. ForLog of that form returns it unchanged.
func ForLog(id string) string {
	if len(id) <= maxLoggedBytes && utf8.ValidString(id) {
		return id
	}
	digest := sha256.Sum256([]byte(id))
	prefix := strings.ToValidUTF8(id[:min(len(id), prefixBytes)], "")
	return prefix + digestMark + hex.EncodeToString(digest[:digestBytes])
}
