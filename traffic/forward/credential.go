package forward

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// Headers and parameters in which a caller may present its key.
const (
	authorizationHeader = "Authorization"
	apiKeyHeader        = "X-Api-Key"
	apiKeyParameter     = "api_key"
	bearerPrefix        = "bearer "
)

// minSearchedKeyLength is the minimum length, in bytes, of a presented key that is searched for within other text, such as
// header values. Issued keys hold 32 random bytes. Without the minimum, an invalid key of a few letters would remove
// unrelated headers.
const minSearchedKeyLength = 8

// PresentedKeys returns the distinct keys that a request presents in the places where keys are accepted: the Authorization
// header with the scheme Bearer, the header X-Api-Key, and the query parameter api_key.
func PresentedKeys(r *http.Request) []string {
	var keys []string
	add := func(key string) {
		if key != "" && !slices.Contains(keys, key) {
			keys = append(keys, key)
		}
	}
	for _, value := range r.Header[authorizationHeader] {
		if key, ok := bearerKey(value); ok {
			add(key)
		}
	}
	for _, value := range r.Header[apiKeyHeader] {
		add(strings.TrimSpace(value))
	}
	if !strings.Contains(r.URL.RawQuery, "=") {
		return keys
	}
	for pair := range strings.SplitSeq(r.URL.RawQuery, "&") {
		name, value, _ := strings.Cut(pair, "=")
		if unescape(name) == apiKeyParameter {
			add(unescape(value))
		}
	}
	return keys
}

func bearerKey(value string) (string, bool) {
	value = strings.TrimSpace(value)
	if len(value) <= len(bearerPrefix) || !strings.EqualFold(value[:len(bearerPrefix)], bearerPrefix) {
		return "", false
	}
	return strings.TrimSpace(value[len(bearerPrefix):]), true
}

// unescape decodes percent encoding. It returns the text unchanged if the encoding is invalid.
func unescape(text string) string {
	if !strings.ContainsAny(text, "%+") {
		return text
	}
	decoded, err := url.QueryUnescape(text)
	if err != nil {
		return text
	}
	return decoded
}

// ContainsKey reports whether a text contains one of the keys, in plain text or percent-encoded. Keys shorter than
// minSearchedKeyLength must equal the whole text.
func ContainsKey(text string, keys []string) bool {
	if len(keys) == 0 || text == "" {
		return false
	}
	decoded := unescape(text)
	for _, key := range keys {
		if text == key || decoded == key {
			return true
		}
		if len(key) >= minSearchedKeyLength && (strings.Contains(text, key) || strings.Contains(decoded, key)) {
			return true
		}
	}
	return false
}

// stripHeader removes, in place, the headers that carry keys and every value in which one of the keys appears.
func stripHeader(header http.Header, keys []string) {
	delete(header, authorizationHeader)
	delete(header, apiKeyHeader)
	stripCookies(header, keys)
	for name, values := range header {
		if nameContainsKey(name, keys) {
			delete(header, name)
			continue
		}
		if !slices.ContainsFunc(values, func(v string) bool { return ContainsKey(v, keys) }) {
			continue
		}
		kept := slices.DeleteFunc(slices.Clone(values), func(v string) bool { return ContainsKey(v, keys) })
		if len(kept) == 0 {
			delete(header, name)
			continue
		}
		header[name] = kept
	}
}

// nameContainsKey reports whether a header's name contains a key. It ignores case, because names no longer have the case in
// which the caller sent them.
func nameContainsKey(name string, keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool {
		return len(key) >= minSearchedKeyLength && len(name) >= len(key) && strings.Contains(strings.ToLower(name), strings.ToLower(key))
	})
}

// stripCookies removes the cookies that are named like the key's parameter or header, or that contain a key. Other cookies
// stay.
func stripCookies(header http.Header, keys []string) {
	lines, ok := header["Cookie"]
	if !ok {
		return
	}
	var kept []string
	for _, line := range lines {
		for cookie := range strings.SplitSeq(line, ";") {
			cookie = strings.TrimSpace(cookie)
			name, _, _ := strings.Cut(cookie, "=")
			if cookie == "" || isKeyName(name) || ContainsKey(cookie, keys) {
				continue
			}
			kept = append(kept, cookie)
		}
	}
	if len(kept) == 0 {
		delete(header, "Cookie")
		return
	}
	header["Cookie"] = []string{strings.Join(kept, "; ")}
}

func isKeyName(name string) bool {
	name = strings.TrimSpace(name)
	return strings.EqualFold(name, apiKeyParameter) || strings.EqualFold(name, apiKeyHeader)
}

// stripQuery removes the pairs that are named like the key's parameter or that contain a key. Other pairs stay unchanged.
func stripQuery(rawQuery string, keys []string) string {
	if rawQuery == "" {
		return ""
	}
	var kept []string
	for pair := range strings.SplitSeq(rawQuery, "&") {
		decoded := unescape(pair)
		// Some upstreams also split the query at ";", so the parameter's name is searched for within the pair.
		if strings.Contains(decoded, apiKeyParameter+"=") || decoded == apiKeyParameter || ContainsKey(pair, keys) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}
