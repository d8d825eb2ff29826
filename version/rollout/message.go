package rollout

import (
	"fmt"

	"github.com/jayridge/jayridge/connection/wire"
	"github.com/jayridge/jayridge/process/event"
)

// Message reports a change of a shift to the operators. Text is a single line; the event's number makes it searchable.
type Message struct {
	Event   event.ID
	Rollout string
	Text    string
}

// Output holds the actions that a Machine requests from its driver. All fields except Share are optional.
type Output struct {
	// Share is the new version's share of the traffic, in force from now on.
	Share float64
	// Write is a record to write; the driver then calls WriteSucceeded or WriteFailed.
	Write *Write
	// Read asks for the record to be read; the driver then calls RecordRead, RecordMissing or PlatformDown.
	Read bool
	// Stop is the decision to roll back. It is spread by gossip until the shift's rule is removed.
	Stop *wire.RolloutStop
	// Messages are for the operators, in order.
	Messages []Message
}

func (m *Machine) addMessage(out *Output, id event.ID, format string, args ...any) {
	text := fmt.Sprintf("%s %s -> %s: ", m.shift.Service, m.shift.From, m.shift.To) + fmt.Sprintf(format, args...)
	out.Messages = append(out.Messages, Message{Event: id, Rollout: m.shift.ID, Text: text})
}
