package proxy

import (
	"errors"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/bronzeyard/bronzeyard/traffic/forward"
)

// defaultTimeout is the timeout of a route if the policy sets none.
const defaultTimeout = 5 * time.Second

// Causes of rejections.
var (
	errKeyInPath          = errors.New("the key appears in the path or the host name")
	errMultipleKeys       = errors.New("the request contains several different keys")
	errKeyReassigned      = errors.New("the key was assigned to another customer while the request waited")
	errServiceRemoved     = errors.New("the service of the route was removed from the settings")
	errInvalidTarget      = errors.New("the request target is not a path")
	errInvalidSegment     = errors.New("the path has an empty, \".\" or \"..\" segment")
	errEncodedSlash       = errors.New("the path has an encoded slash or backslash")
	errUpgradeUnsupported = errors.New("protocol upgrades are not supported")
	errInvalidTimeout     = errors.New(forward.TimeoutHeader + " is not a positive integer")
)

// validateRequest rejects unsupported requests and those that this host and an upstream could interpret differently.
// net/http has already rejected messages with an ambiguous length.
func validateRequest(r *http.Request) error {
	if r.Method == http.MethodConnect || !strings.HasPrefix(r.URL.Path, "/") {
		return errInvalidTarget
	}
	if r.Header.Get("Upgrade") != "" {
		return errUpgradeUnsupported
	}
	return validatePath(r.URL.Path, r.URL.EscapedPath())
}

// validatePath rejects paths that an upstream may normalise to the path of another route.
func validatePath(path, escaped string) error {
	if strings.Contains(path, `\`) || strings.Contains(path, "\x00") {
		return errEncodedSlash
	}
	if strings.Contains(escaped, "%2f") || strings.Contains(escaped, "%2F") {
		return errEncodedSlash
	}
	rest := path[1:]
	for rest != "" {
		segment, after, more := strings.Cut(rest, "/")
		if segment == "." || segment == ".." || (segment == "" && more) {
			return errInvalidSegment
		}
		rest = after
	}
	return nil
}

// hostName returns the host name of a Host header in lower case without its port.
func hostName(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}

// callerTimeout returns the timeout that the caller requests in a header, and whether the header is present.
func callerTimeout(header http.Header) (time.Duration, bool, error) {
	text := header.Get(forward.TimeoutHeader)
	if text == "" {
		return 0, false, nil
	}
	milliseconds, err := strconv.ParseInt(text, 10, 32)
	if err != nil || milliseconds <= 0 {
		return 0, false, errInvalidTimeout
	}
	return time.Duration(milliseconds) * time.Millisecond, true, nil
}
