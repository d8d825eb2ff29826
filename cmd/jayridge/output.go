package main

import (
	"encoding/json"
	"fmt"
	"io"
	"strings"
	"text/tabwriter"

	"github.com/urfave/cli/v3"

	"github.com/jayridge/jayridge/request/result"
)

// outputFlag returns the flag that selects the output format.
func outputFlag() cli.Flag {
	return &cli.StringFlag{
		Name: "output", Aliases: []string{"o"}, Value: "table", Usage: "`FORMAT` of the output: table or json",
		Validator: func(format string) error {
			if format != "table" && format != "json" {
				return fmt.Errorf("%q is neither table nor json", format)
			}
			return nil
		},
	}
}

// printer writes the output of a command as a table or as JSON.
type printer struct {
	w    io.Writer
	json bool
}

func newPrinter(cmd *cli.Command) printer {
	return printer{cmd.Root().Writer, cmd.String("output") == "json"}
}

// print writes data as JSON, or the rows as a table with a header.
func (p printer) print(data any, header []string, rows [][]string) error {
	if p.json {
		enc := json.NewEncoder(p.w)
		enc.SetIndent("", "  ")
		if err := enc.Encode(data); err != nil {
			return fail(result.InternalError, err)
		}
		return nil
	}
	table := tabwriter.NewWriter(p.w, 0, 4, 2, ' ', 0)
	fmt.Fprintln(table, strings.Join(header, "\t"))
	for _, row := range rows {
		fmt.Fprintln(table, strings.Join(row, "\t"))
	}
	return table.Flush()
}

// note writes a line of text, except in JSON output.
func (p printer) note(format string, args ...any) {
	if !p.json {
		fmt.Fprintf(p.w, format+"\n", args...)
	}
}
