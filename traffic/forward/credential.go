package forward

import (
	"net/http"
	"net/url"
	"slices"
	"strings"
)

// The places in which a caller may present its key.
const (
	authorizationHeader = "Authorization"
	apiKeyHeader        = "X-Api-Key"
	apiKeyParameter     = "api_key"
	bearerPrefix        = "bearer "
)

// minSearchedKey is the shortest presented key, in bytes, that is searched within header values. Granted keys hold 32
// random bytes; a guess of a few letters would otherwise remove unrelated headers.
const minSearchedKey = 8

// PresentedKeys returns the distinct keys that a request presents where keys are accepted: Authorization with the scheme
// Bearer, X-Api-Key, and the query parameter api_key.
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

// unescape decodes percent encoding and returns the text unchanged where it is invalid.
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

// ContainsKey reports whether a text holds one of the keys, plain or percent-encoded.
func ContainsKey(text string, keys []string) bool {
	if len(keys) == 0 || text == "" {
		return false
	}
	decoded := unescape(text)
	for _, key := range keys {
		if text == key || decoded == key {
			return true
		}
		if len(key) >= minSearchedKey && (strings.Contains(text, key) || strings.Contains(decoded, key)) {
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
		if nameHoldsKey(name, keys) {
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

// nameHoldsKey reports whether a header's name holds a key. Names have lost the case in which the caller wrote them.
func nameHoldsKey(name string, keys []string) bool {
	return slices.ContainsFunc(keys, func(key string) bool {
		return len(key) >= minSearchedKey && len(name) >= len(key) && strings.Contains(strings.ToLower(name), strings.ToLower(key))
	})
}

// stripCookies drops the cookies that are named like the key's parameter or that hold a key; other cookies stay.
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

// stripQuery removes the pairs that are named like the key's parameter or that hold a key; other pairs stay as they are.
func stripQuery(rawQuery string, keys []string) string {
	if rawQuery == "" {
		return ""
	}
	var kept []string
	for pair := range strings.SplitSeq(rawQuery, "&") {
		decoded := unescape(pair)
		// An upstream may also split at ";", so the parameter's name is looked for within the pair.
		if strings.Contains(decoded, apiKeyParameter+"=") || decoded == apiKeyParameter || ContainsKey(pair, keys) {
			continue
		}
		kept = append(kept, pair)
	}
	return strings.Join(kept, "&")
}
