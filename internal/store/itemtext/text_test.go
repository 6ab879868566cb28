package itemtext

import (
	"testing"

	"nickelline/internal/forward"
)

func event(id, data string) *forward.Event { return &forward.Event{ID: id, Data: []byte(data)} }

// content returns the content after the last checkpoint.
func content(text *Text) string {
	tail, _ := text.Tail()
	return string(tail)
}

func TestDataIsJoinedByLineFeeds(t *testing.T) {
	var text Text
	for _, e := range []*forward.Event{event("1", "a"), {ID: "2"}, event("3", ""), event("4", "b\nc")} {
		if !text.Add(e) {
			t.Fatalf("event %s was not added", e.ID)
		}
	}
	if got, want := content(&text), "a\n\nb\nc"; got != want {
		t.Errorf("content: got %q, want %q", got, want)
	}
	if got, want := text.ResumeAfter(), "4"; got != want {
		t.Errorf("resume after: got %q, want %q", got, want)
	}
}

func TestEventsWithoutIncreasingIDsAreRefused(t *testing.T) {
	var text Text
	text.Add(event("9", "a"))
	for _, id := range []string{"9", "8", "1"} {
		if text.Add(event(id, "x")) {
			t.Errorf("event %s was added after event 9", id)
		}
	}
	if !text.Add(event("10", "b")) {
		t.Error("event 10 was not added after event 9")
	}
	if got, want := content(&text), "a\nb"; got != want {
		t.Errorf("content: got %q, want %q", got, want)
	}
}

func TestTextWithoutIDsRestarts(t *testing.T) {
	var text Text
	text.Add(event("1", "a"))
	text.Add(event("", "b"))
	if got := text.ResumeAfter(); got != "" {
		t.Errorf("resume after: got %q, want none, so that the attempt starts over", got)
	}
	if text.Events() != 0 || len(content(&text)) != 0 {
		t.Errorf("got %d events, %q, want an empty text", text.Events(), content(&text))
	}
}

func TestCheckpointTakesTheTail(t *testing.T) {
	text := FromCheckpoint(3, "7")
	if _, ok := text.TakeCheckpoint(); ok {
		t.Error("got a checkpoint without new events, want none")
	}
	text.Add(event("8", "a"))
	text.Add(event("9", "b"))
	taken, ok := text.TakeCheckpoint()
	if !ok || string(taken.Content) != "\na\nb" || taken.PreviousEvents != 3 || taken.Events != 5 || taken.LastEventID != "9" {
		t.Errorf("got %+v, %v, want the 2 events after the first 3", taken, ok)
	}
	text.Add(event("10", "c"))
	tail, checkpointEvents := text.Tail()
	if string(tail) != "\nc" || checkpointEvents != 5 {
		t.Errorf("tail: got %q after %d events, want %q after 5", tail, checkpointEvents, "\nc")
	}
	text.Add(event("", "d"))
	if _, ok := text.TakeCheckpoint(); ok {
		t.Error("got a checkpoint that no attempt can continue after, want none")
	}
}
