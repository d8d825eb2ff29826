// Command cmd runs the measurements, prints a table, and writes JSON and a plot. It exits with status 1 if a target is missed.
package main

import (
	"context"
	"encoding/json"
	"fmt"
	"os"
	"path/filepath"
	"strings"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/internal/bench"
)

func main() {
	cmd := &cli.Command{
		Name: "bench", Usage: "run the measurements and check their targets",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: "out", Value: "bench-out", Usage: "`FOLDER` for figures.json and figures.svg"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "`SEED` of the random numbers"},
			&cli.BoolFlag{Name: "short", Usage: "run a shorter version, as in continuous integration"},
			&cli.StringFlag{Name: "only", Usage: "run only measurements whose name contains `TEXT`"},
		},
		Action: run,
	}
	if err := cmd.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(_ context.Context, cmd *cli.Command) error {
	options := bench.Options{Seed: cmd.Uint64("seed"), Short: cmd.Bool("short")}
	fmt.Printf("seed %d\n", options.Seed)
	var figures []bench.Figure
	for _, m := range bench.All() {
		if strings.Contains(m.Name, cmd.String("only")) {
			figures = append(figures, m.Run(options)...)
		}
	}
	bench.Print(os.Stdout, figures)
	if err := writeFigures(cmd.String("out"), figures); err != nil {
		return err
	}
	return checkTargets(figures)
}

func writeFigures(folder string, figures []bench.Figure) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return err
	}
	text, err := json.MarshalIndent(figures, "", "  ")
	if err != nil {
		return err
	}
	if err := os.WriteFile(filepath.Join(folder, "figures.json"), text, 0o644); err != nil {
		return err
	}
	return bench.Plot(folder, figures)
}

func checkTargets(figures []bench.Figure) error {
	n := 0
	for _, f := range figures {
		if !f.Met() {
			n++
		}
	}
	if n > 0 {
		return fmt.Errorf("%d targets missed", n)
	}
	return nil
}
