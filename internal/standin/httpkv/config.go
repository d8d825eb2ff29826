package httpkv

import (
	"net/url"
	"time"

	"github.com/gravitational/trace"
)

// Config holds the address of the service and the timeouts of calls.
type Config struct {
	// BaseURL is the address of the service, such as http://127.0.0.1:7400. Required.
	BaseURL string
	// Token is the bearer token of each request. Empty: none.
	Token string
	// DialTimeout limits the time to establish a connection. Default 1 s; zero is invalid.
	DialTimeout time.Duration
	// ReadTimeout limits Get and List. Default 2 s; zero is invalid.
	ReadTimeout time.Duration
	// WriteTimeout limits CompareAndSwap and lease calls. After a timeout the outcome is unknown. Default 2 s; zero is invalid.
	WriteTimeout time.Duration
	// WatchWait is the time that the service may hold one long-poll request. Watch polls again until its context ends. Default 20 s;
	// zero is invalid.
	WatchWait time.Duration
}

// DefaultConfig returns the default configuration for a service at baseURL.
func DefaultConfig(baseURL string) Config {
	return Config{
		BaseURL:      baseURL,
		DialTimeout:  time.Second,
		ReadTimeout:  2 * time.Second,
		WriteTimeout: 2 * time.Second,
		WatchWait:    20 * time.Second,
	}
}

// Validate returns an error that names the first invalid field.
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
