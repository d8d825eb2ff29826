package bench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/jayridge/jayridge/connection/wire"
)

// cost is the bytes per second of one kind of message at one node.
type cost struct{ sent, received float64 }

// ledger sums the control bytes of one node by kind of message.
type ledger map[string]cost

func (l ledger) send(kind string, bytesPerSecond float64) {
	c := l[kind]
	c.sent += bytesPerSecond
	l[kind] = c
}

func (l ledger) receive(kind string, bytesPerSecond float64) {
	c := l[kind]
	c.received += bytesPerSecond
	l[kind] = c
}

// total is what the node sends and receives per second.
func (l ledger) total() float64 {
	sum := 0.0
	for _, c := range l {
		sum += c.sent + c.received
	}
	return sum
}

// figures returns the total with its bound, and the kinds unbounded, the most expensive first.
func (l ledger) figures(measure, node string, bound float64) []Figure {
	figures := []Figure{{Measure: measure, Name: node + ", total", Value: l.total(), Unit: "B/s", Bound: bound, Bounded: true}}
	for _, kind := range l.kinds() {
		figures = append(figures, Figure{Measure: measure, Name: node + ", " + kind, Value: l[kind].sent + l[kind].received, Unit: "B/s"})
	}
	return figures
}

func (l ledger) kinds() []string {
	kinds := make([]string, 0, len(l))
	for kind := range l {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(l[b].sent+l[b].received, l[a].sent+l[a].received), cmp.Compare(a, b))
	})
	return kinds
}

// print writes what is sent and received by kind.
func (l ledger) print(w io.Writer, node string) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tsent B/s\treceived B/s\n", node)
	for _, kind := range l.kinds() {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\n", kind, l[kind].sent, l[kind].received)
	}
	_ = table.Flush()
}

// frameBytes is the size of a message's frame with its header.
func frameBytes(m wire.Message) float64 {
	frame, err := wire.Encode(wire.ControlStream, m)
	if err != nil {
		panic(err)
	}
	return float64(len(frame))
}
