package upstream

import (
	"net/url"
	"strings"
)

// parseTarget returns a URL that is written exactly as the request target was received. The field Opaque keeps net/url from
// normalising escapes in the path.
func parseTarget(target string) (*url.URL, error) {
	parsed, err := url.ParseRequestURI(target)
	if err != nil {
		return nil, err
	}
	path, query, hasQuery := strings.Cut(target, "?")
	if parsed.Host != "" {
		// For an absolute-form target, the scheme and host are dropped.
		path = parsed.EscapedPath()
	}
	// An opaque part that starts with two slashes would be written as an absolute URL.
	if strings.HasPrefix(path, "//") {
		return &url.URL{Path: parsed.Path, RawPath: path, RawQuery: query, ForceQuery: hasQuery && query == ""}, nil
	}
	return &url.URL{Opaque: path, RawQuery: query, ForceQuery: hasQuery && query == ""}, nil
}
