package bench

import (
	"cmp"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/jayridge/jayridge/connection/wire"
)

// byteRate is the bytes per second of one kind of message at one instance.
type byteRate struct{ sent, received float64 }

// trafficLedger sums the control traffic of one instance by kind of message.
type trafficLedger map[string]byteRate

func (l trafficLedger) send(kind string, bytesPerSecond float64) {
	c := l[kind]
	c.sent += bytesPerSecond
	l[kind] = c
}

func (l trafficLedger) receive(kind string, bytesPerSecond float64) {
	c := l[kind]
	c.received += bytesPerSecond
	l[kind] = c
}

// total returns the bytes that the instance sends and receives per second.
func (l trafficLedger) total() float64 {
	sum := 0.0
	for _, c := range l {
		sum += c.sent + c.received
	}
	return sum
}

// figures returns the total with its bound, and an unbounded figure per kind of message, largest first.
func (l trafficLedger) figures(measure, node string, bound float64) []Figure {
	figures := []Figure{{Measure: measure, Name: node + ", total", Value: l.total(), Unit: "B/s", Bound: bound, Bounded: true}}
	for _, kind := range l.kinds() {
		figures = append(figures, Figure{Measure: measure, Name: node + ", " + kind, Value: l[kind].sent + l[kind].received, Unit: "B/s"})
	}
	return figures
}

func (l trafficLedger) kinds() []string {
	kinds := make([]string, 0, len(l))
	for kind := range l {
		kinds = append(kinds, kind)
	}
	slices.SortFunc(kinds, func(a, b string) int {
		return cmp.Or(cmp.Compare(l[b].sent+l[b].received, l[a].sent+l[a].received), cmp.Compare(a, b))
	})
	return kinds
}

// printTable writes the sent and received bytes per second of each kind.
func (l trafficLedger) printTable(w io.Writer, node string) {
	table := tabwriter.NewWriter(w, 0, 4, 2, ' ', 0)
	fmt.Fprintf(table, "%s\tsent B/s\treceived B/s\n", node)
	for _, kind := range l.kinds() {
		fmt.Fprintf(table, "%s\t%.1f\t%.1f\n", kind, l[kind].sent, l[kind].received)
	}
	_ = table.Flush()
}

// frameBytes returns the size of a message's frame including its header.
func frameBytes(m wire.Message) float64 {
	frame, err := wire.Encode(wire.ControlStream, m)
	if err != nil {
		panic(err)
	}
	return float64(len(frame))
}
