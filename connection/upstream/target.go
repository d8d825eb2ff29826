package upstream

import (
	"net/url"
	"strings"
)

// parseTarget returns a URL that is written exactly as the request target was received. Opaque keeps net/url from normalising the
// path's escapes.
func parseTarget(target string) (*url.URL, error) {
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	path, query, hasQuery := strings.Cut(target, "?")
	if parsed.Host != "" {
		// An absolute-form target: only the path goes on.
		path = parsed.EscapedPath()
	}
	// An opaque part that begins with two slashes would be written as an absolute URL.
	if strings.HasPrefix(path, "//") {
		return &url.URL{Path: parsed.Path, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}, nil
	}
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}, nil
}
