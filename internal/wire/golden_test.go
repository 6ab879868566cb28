package wire

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"nickelline/decide"
	"nickelline/internal/golden"
)

// The golden files hold values without field names, so that a rename does not change them, but a field that moves or is
// filled from another key does.

func TestGoldenSettings(t *testing.T) {
	settings, err := DecodeSettings(golden.Read(t, "profile.json"))
	if err != nil {
		t.Fatalf("decode settings: %v", err)
	}
	golden.Text(t, "profile.txt", fmt.Sprintf("%v\n", settings))
}

func TestGoldenEvents(t *testing.T) {
	line := strings.ReplaceAll(string(golden.Read(t, "batch.json")), "\n", "")
	batch, err := DecodeBatch([]byte(line))
	if err != nil {
		t.Fatalf("decode batch: %v", err)
	}
	var text strings.Builder
	fmt.Fprintf(&text, "now %d\n", batch.Now)
	for _, group := range batch.Groups {
		fmt.Fprintf(&text, "node %d\n", group.Node)
		for _, event := range group.Events {
			fmt.Fprintf(&text, "retire %v, event %s\n", event.Retire, describe(event.Module))
		}
	}
	golden.Text(t, "batch.txt", text.String())
}

// describe formats the values of an event and of the load report that it points to.
func describe(event decide.Event) string {
	switch event := event.(type) {
	case decide.AttemptEnded:
		report := event.Report
		event.Report = nil
		return fmt.Sprintf("%v report %s", event, describeReport(report))
	case decide.ProbeEnded:
		report := event.Report
		event.Report = nil
		return fmt.Sprintf("%v report %s", event, describeReport(report))
	default:
		return fmt.Sprintf("%v", event)
	}
}

func describeReport(report *decide.Report) string {
	if report == nil {
		return "none"
	}
	return fmt.Sprintf("%v", *report)
}

func TestGoldenReply(t *testing.T) {
	line := AppendReply(nil, []Reply{
		{Node: 3, Actions: []decide.Action{
			decide.Send{ID: "q", Backend: 4294967295, Timeout: 80 * time.Millisecond},
			decide.Send{ID: "q", Backend: 1},
			decide.Refuse{ID: "q\"", RetryAfter: 5},
			decide.Refuse{ID: "q"},
			decide.Fail{ID: "q"},
			decide.CancelAttempt{ID: "q", Attempt: 1},
			decide.SetTimer{After: 5, Token: 77},
			decide.Probe{Backend: 1},
			decide.SendMessage{ToAll: true, Data: []byte("hi")},
			decide.SendMessage{To: 2, Data: []byte{0, 0xff}},
			decide.Subscribe{On: true},
			decide.Subscribe{},
			decide.FetchList{},
			decide.CloseIdle{Backend: 9},
			decide.Log{Line: "a \"b\" <c>"},
		}},
		{Node: 4},
		{Node: 5, Actions: []decide.Action{decide.Fail{ID: "r"}}},
	})
	golden.Text(t, "reply.json", string(line))
}
