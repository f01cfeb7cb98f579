package forward

import (
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
)

// TimeoutHeader carries the remaining time of a request in milliseconds, both from the caller and to the upstream.
const TimeoutHeader = "Bronzeyard-Timeout-Ms"

// hopByHop lists the headers that apply to a single connection (RFC 9110 section 7.6.1), and Expect, to which this host has
// already responded.
var hopByHop = []string{
	"Connection", "Proxy-Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer",
	"Transfer-Encoding", "Upgrade", "Expect", "Http2-Settings",
}

// RemoveHopByHop removes, in place, the headers that apply to a single connection.
func RemoveHopByHop(header http.Header) {
	for _, line := range header["Connection"] {
		for name := range strings.SplitSeq(line, ",") {
			if name = strings.TrimSpace(name); name != "" {
				header.Del(name)
			}
		}
	}
	for _, name := range hopByHop {
		delete(header, name)
	}
}

// appendForwarded adds the element of this hop to the Forwarded header (RFC 7239).
func appendForwarded(header http.Header, remoteAddress, host string) {
	element := "for=" + forwardedNode(remoteAddress) + ";host=" + quoted(host) + ";proto=http"
	if earlier := header["Forwarded"]; len(earlier) > 0 {
		element = strings.Join(earlier, ", ") + ", " + element
	}
	header["Forwarded"] = []string{element}
}

// forwardedNode formats an address as required by RFC 7239: IPv6 addresses are bracketed and quoted. An invalid address becomes
// "unknown".
func forwardedNode(remoteAddress string) string {
	ip, _, err := net.SplitHostPort(remoteAddress)
	if err != nil {
		return "unknown"
	}
	if strings.Contains(ip, ":") {
		return `"[` + ip + `]"`
	}
	return ip
}

// quoted returns text as a quoted-string. Text with characters that need escapes becomes an empty string; no host name contains
// them.
func quoted(text string) string {
	if strings.ContainsAny(text, "\"\\") {
		return `""`
	}
	return `"` + text + `"`
}

// containsStatusLine reports whether the status or a header of a response contains the status line of another response. echo is the name of
// a header that is left out, because its values are those of the request.
func containsStatusLine(response *http.Response, echo string) bool {
	if hasStatusLine(response.Status) {
		return true
	}
	for name, values := range response.Header {
		if name != echo && slices.ContainsFunc(values, hasStatusLine) {
			return true
		}
	}
	return false
}

// hasStatusLine reports whether a text contains an HTTP version, a space and a status code.
func hasStatusLine(text string) bool {
	_, rest, found := strings.Cut(text, "HTTP/1.")
	if !found || len(rest) < len("1 200") || rest[1] != ' ' {
		return false
	}
	_, err := strconv.ParseUint(rest[2:5], 10, 16)
	return err == nil
}
