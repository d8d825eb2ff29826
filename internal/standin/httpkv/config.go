package httpkv

import (
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// Config says where the service is and how long calls may take.
type Config struct {
	// BaseURL is the service's address, such as http://127.0.0.1:7400. There is no default; empty is invalid.
	BaseURL string
	// Token is sent as a bearer token. Empty sends none.
	Token string
	// DialTimeout bounds the set-up of a connection. Default 1 s; zero is invalid.
	DialTimeout time.Duration
	// ReadTimeout bounds Get and List. Default 2 s; zero is invalid.
	ReadTimeout time.Duration
	// WriteTimeout bounds CompareAndSwap and lease calls; past it the outcome is unknown. Default 2 s; zero is invalid.
	WriteTimeout time.Duration
	// WatchWait is how long the service holds one long poll; Watch polls again until its context ends. Default 20 s; zero is
	// invalid.
	WatchWait time.Duration
}

// DefaultConfig returns the defaults for a service at baseURL.
func DefaultConfig(baseURL string) Config {
	return Config{
		BaseURL:      baseURL,
		DialTimeout:  time.Second,
		ReadTimeout:  2 * time.Second,
		WriteTimeout: 2 * time.Second,
		WatchWait:    20 * time.Second,
	}
}

// Validate names the first field that is out of range.
func (c Config) Validate() error {
	base, err := url.Parse(c.BaseURL)
	if err != nil || base.Scheme != "http" && base.Scheme != "https" || base.Host == "" {
		return trace.BadParameter("BaseURL: %q is not an http or https address", c.BaseURL)
	}
	for _, field := range []struct {
		name  string
		value time.Duration
	}{
		{"DialTimeout", c.DialTimeout},
		{"ReadTimeout", c.ReadTimeout},
		{"WriteTimeout", c.WriteTimeout},
		{"WatchWait", c.WatchWait},
	} {
		if field.value <= 0 {
			return trace.BadParameter("%s: %v is not positive", field.name, field.value)
		}
	}
	return nil
}
