package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"github.com/urfave/cli/v3"
	"golang.org/x/sync/errgroup"

	"github.com/jayridge/jayridge/internal/standin/httpkv"
	"github.com/jayridge/jayridge/internal/standin/httplist"
	"github.com/jayridge/jayridge/process/node"
	"github.com/jayridge/jayridge/process/services"
	"github.com/jayridge/jayridge/request/result"
)

const (
	// listTimeout is the timeout of a read of the instance list.
	listTimeout = 5 * time.Second
	// statusTimeout is the timeout of a read of one status page.
	statusTimeout = 2 * time.Second
	// maxConcurrentStatusReads bounds the status pages that are read concurrently.
	maxConcurrentStatusReads = 32
)

func kvFlag() cli.Flag {
	return &cli.StringFlag{Name: "kv", Required: true, Sources: cli.EnvVars("JAYRIDGE_KV"), Usage: "base `URL` of the platform's key-value service"}
}

func instancesFlag() cli.Flag {
	return &cli.StringFlag{Name: "instances", Sources: cli.EnvVars("JAYRIDGE_INSTANCES"), Usage: "base `URL` of the platform's instance list"}
}

func openKV(cmd *cli.Command) (services.KV, error) {
	kv, err := httpkv.New(httpkv.DefaultConfig(cmd.String("kv")))
	if err != nil {
		return nil, fail(result.UsageError, err)
	}
	return kv, nil
}

// instanceList reads the instance list.
func instanceList(ctx context.Context, cmd *cli.Command) ([]services.Instance, error) {
	if cmd.String("instances") == "" {
		return nil, failf(result.UsageError, "set --instances or JAYRIDGE_INSTANCES to the URL of the instance list")
	}
	update, err := httplist.New(cmd.String("instances"), listTimeout).List(ctx, 0)
	if err != nil {
		return nil, fail(result.PlatformDown, err)
	}
	return update.Instances, nil
}

// report is an instance's status page, or the error of reading it.
type report struct {
	services.Instance
	Status *node.Status `json:"status,omitempty"`
	Error  string       `json:"error,omitempty"`
}

// readReports reads the status pages of instances concurrently. Failed reads are recorded in their reports.
func readReports(ctx context.Context, instances []services.Instance) []report {
	reports := make([]report, len(instances))
	var group errgroup.Group
	group.SetLimit(maxConcurrentStatusReads)
	for i, instance := range instances {
		group.Go(func() error {
			reports[i] = readReport(ctx, instance)
			return nil
		})
	}
	_ = group.Wait() // always nil
	return reports
}

func readReport(ctx context.Context, instance services.Instance) report {
	ctx, cancel := context.WithTimeout(ctx, statusTimeout)
	defer cancel()
	status, err := readStatus(ctx, instance.Admin)
	if err != nil {
		return report{Instance: instance, Error: err.Error()}
	}
	return report{Instance: instance, Status: status}
}

func readStatus(ctx context.Context, admin string) (*node.Status, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+admin+"/status", nil)
	if err != nil {
		return nil, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return nil, err
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("status page answered %s", resp.Status)
	}
	var status node.Status
	return &status, json.NewDecoder(resp.Body).Decode(&status)
}
