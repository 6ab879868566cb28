// Package itemtext assembles the text of a batch item from the events of its response streams.
//
// An item may need several attempts. Each one continues behind the last event of the one before, where the backend's events
// carry ids, and otherwise starts anew. What has been replicated as a checkpoint is no longer kept here.
package itemtext

import (
	"strconv"

	"nickelline/internal/forward"
)

// Text is the text of one item, as far as its attempts have brought it. The zero value is an empty text. It is not safe for
// concurrent use.
type Text struct {
	content           []byte // behind the last checkpoint
	checkpointEvents  uint32 // events that the checkpoints hold
	events            uint32
	lastEventID       string
	cannotBeContinued bool // an event without an id has come: the next attempt starts anew
}

// FromCheckpoint returns the text of an item whose checkpoints hold a number of events, of which the last has the id
// lastEventID.
func FromCheckpoint(events uint32, lastEventID string) Text {
	return Text{checkpointEvents: events, events: events, lastEventID: lastEventID}
}

// Events returns how many events the text has, those of its checkpoints included.
func (t *Text) Events() uint32 { return t.events }

// Tail returns the content behind the last checkpoint, and how many events the checkpoints hold.
func (t *Text) Tail() (content []byte, checkpointEvents uint32) {
	return t.content, t.checkpointEvents
}

// Checkpoint is an addition to the replicated text of an item.
type Checkpoint struct {
	Content     []byte
	After       uint32 // events of the checkpoints before
	Events      uint32 // events of the text, this checkpoint included
	LastEventID string
}

// TakeCheckpoint removes the content behind the last checkpoint from the text, and returns it as a further one. It returns
// false if there is no such content, or if no attempt could continue behind it.
func (t *Text) TakeCheckpoint() (Checkpoint, bool) {
	if t.events == t.checkpointEvents || t.cannotBeContinued {
		return Checkpoint{}, false
	}
	taken := Checkpoint{
		Content:     t.content,
		After:       t.checkpointEvents,
		Events:      t.events,
		LastEventID: t.lastEventID,
	}
	t.content = nil
	t.checkpointEvents = t.events
	return taken, true
}

// Add appends the data of an event. It returns false, and adds nothing, if the event's id is not above that of the event
// before: the stream repeats what the text already has.
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
		t.cannotBeContinued = true
	}
	return true
}

// mayFollow reports whether an event id may come after another one. Ids that are not numbers are not compared.
func mayFollow(last, next string) bool {
	before, err := strconv.ParseUint(last, 10, 64)
	if err != nil {
		return true
	}
	after, err := strconv.ParseUint(next, 10, 64)
	return err != nil || after > before
}

// ResumeAfter prepares the text for a further attempt and returns the id of the event behind which that has to continue. If
// the text cannot be continued it is emptied, and the id is empty: the attempt starts anew.
func (t *Text) ResumeAfter() string {
	if t.cannotBeContinued {
		*t = Text{}
	}
	return t.lastEventID
}
