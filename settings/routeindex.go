package settings

import (
	"slices"
	"strings"
)

// routeIndex finds a route by host and path prefix. The duration of a lookup does not grow with the number of routes.
// gorilla/mux tries its routes one after another, which with 34,000 routes takes longer than the latency budget of a request.
type routeIndex struct {
	byHost map[string]map[string][]*Route // host -> path prefix -> routes
}

func newRouteIndex(routes []Route) routeIndex {
	index := routeIndex{byHost: make(map[string]map[string][]*Route)}
	for i := range routes {
		route := &routes[i]
		prefixes := index.byHost[route.Host]
		if prefixes == nil {
			prefixes = make(map[string][]*Route)
			index.byHost[route.Host] = prefixes
		}
		prefix := trimTrailingSlashes(route.PathPrefix)
		prefixes[prefix] = append(prefixes[prefix], route)
	}
	return index
}

// trimTrailingSlashes makes "/a" and "/a/" the same prefix; the root is "".
func trimTrailingSlashes(path string) string { return strings.TrimRight(path, "/") }

func (x *routeIndex) lookup(host, method, path string) (*Route, bool) {
	if route, ok := lookupPrefix(x.byHost[host], method, path); ok {
		return route, true
	}
	return lookupPrefix(x.byHost[""], method, path)
}

func lookupPrefix(prefixes map[string][]*Route, method, path string) (*Route, bool) {
	if len(prefixes) == 0 {
		return nil, false
	}
	for prefix := trimTrailingSlashes(path); ; {
		if route, ok := pickByMethod(prefixes[prefix], method, prefix == path); ok {
			return route, true
		}
		slash := strings.LastIndexByte(prefix, '/')
		if slash < 0 {
			return nil, false
		}
		prefix = prefix[:slash]
	}
}

// pickByMethod prefers a route that lists the method over one that matches every method. exact is true if the path is the
// prefix itself without a trailing slash, which subtree routes do not match.
func pickByMethod(routes []*Route, method string, exact bool) (*Route, bool) {
	var fallback *Route
	for _, route := range routes {
		if exact && route.Subtree {
			continue
		}
		if slices.Contains(route.Methods, method) {
			return route, true
		}
		if len(route.Methods) == 0 {
			fallback = route
		}
	}
	return fallback, fallback != nil
}
