// Package httplist implements an HTTP client of the platform's instance list.
package httplist

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/gravitational/trace"

	"github.com/jayridge/jayridge/process/services"
)

// Client implements services.InstanceList. It is safe for concurrent use.
type Client struct {
	url    string
	client *http.Client
}

var _ services.InstanceList = (*Client)(nil)

// New returns a client of the instance list at a base URL. The timeout applies to each call.
func New(url string, timeout time.Duration) *Client {
	return &Client{url: url, client: &http.Client{Timeout: timeout}}
}

// List implements services.InstanceList.
func (c *Client) List(ctx context.Context, after uint64) (services.InstanceUpdate, error) {
	var none services.InstanceUpdate
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("%s/v1/instances?after=%d&changes=1", c.url, after), nil)
	if err != nil {
		return none, trace.Wrap(err)
	}
	resp, err := c.client.Do(req)
	if err != nil {
		return none, trace.Wrap(fmt.Errorf("%w: %w", services.ErrUnavailable, err))
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return none, trace.Wrap(fmt.Errorf("%w: instance list returned status %s", services.ErrUnavailable, resp.Status))
	}
	// Services that do not support the query parameter "changes" return the full list and leave "partial" unset.
	var reply struct {
		Revision  uint64              `json:"revision"`
		Partial   bool                `json:"partial"`
		Instances []services.Instance `json:"instances"`
		Removed   []string            `json:"removed"`
	}
	if err := json.NewDecoder(resp.Body).Decode(&reply); err != nil {
		return none, trace.Wrap(err)
	}
	return services.InstanceUpdate{
		Revision: reply.Revision, Full: !reply.Partial && reply.Revision != after, Instances: reply.Instances, Removed: reply.Removed,
	}, nil
}
