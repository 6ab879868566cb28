// Package itemtext assembles the text of a batch item from the events of its response streams.
//
// An item may need several attempts. Each attempt continues after the last event of the previous one if the backend's events
// carry ids, and otherwise starts over. Text that has been replicated as a checkpoint is no longer kept here.
package itemtext

import (
	"strconv"

	"nickelline/internal/forward"
)

// Text is the text that the attempts of one item have produced so far. The zero value is an empty text. It is not safe for
// concurrent use.
type Text struct {
	content          []byte // after the last checkpoint
	checkpointEvents uint32 // number of events in the checkpoints
	events           uint32
	lastEventID      string
	notResumable     bool // an event without an id was added: the next attempt starts over
}

// FromCheckpoint returns the text of an item whose checkpoints hold the given number of events, the last of which has the id
// lastEventID.
func FromCheckpoint(events uint32, lastEventID string) Text {
	return Text{checkpointEvents: events, events: events, lastEventID: lastEventID}
}

// Events returns the number of events in the text, including those of its checkpoints.
func (t *Text) Events() uint32 { return t.events }

// Tail returns the content after the last checkpoint, and the number of events in the checkpoints.
func (t *Text) Tail() (content []byte, checkpointEvents uint32) {
	return t.content, t.checkpointEvents
}

// Checkpoint is a part of an item's text, to be appended to the replicated text.
type Checkpoint struct {
	Content        []byte
	PreviousEvents uint32 // events in the previous checkpoints
	Events         uint32 // events in the text, including this checkpoint
	LastEventID    string
}

// TakeCheckpoint removes the content after the last checkpoint from the text, and returns it as the next checkpoint. It returns
// false if there is no such content, or if no attempt could continue after it.
func (t *Text) TakeCheckpoint() (Checkpoint, bool) {
	if t.events == t.checkpointEvents || t.notResumable {
		return Checkpoint{}, false
	}
	taken := Checkpoint{
		Content:        t.content,
		PreviousEvents: t.checkpointEvents,
		Events:         t.events,
		LastEventID:    t.lastEventID,
	}
	t.content = nil
	t.checkpointEvents = t.events
	return taken, true
}

// Add appends the data of an event. It returns false, and adds nothing, if the event's id is not greater than that of the
// previous event: the stream repeats events that the text already has.
func (t *Text) Add(event *forward.Event) bool {
	if event.Data == nil {
		return true
	}
	if !mayFollow(t.lastEventID, event.ID) {
		return false
	}
	if t.events > 0 {
		t.content = append(t.content, '\n')
	}
	t.content = append(t.content, event.Data...)
	t.events++
	t.lastEventID = event.ID
	if event.ID == "" {
		t.notResumable = true
	}
	return true
}

// mayFollow reports whether an event with the id next may follow one with the id last. Ids that are not numbers are not compared.
func mayFollow(last, next string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseUint(next, 10, 64)
	return err != nil || after > before
}

// ResumeAfter prepares the text for another attempt, and returns the id of the event after which that attempt must continue. If
// the text cannot be continued, ResumeAfter clears it and returns an empty id: the attempt starts over.
func (t *Text) ResumeAfter() string {
	if t.notResumable {
		*t = Text{}
	}
	return t.lastEventID
}
