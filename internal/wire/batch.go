package wire

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"nickelline/decide"
)

// Start holds the settings and the random seed with which an instance of the decision module starts.
type Start struct {
	Settings decide.Settings
	Seed     int64
}

// Event is one event of an instance: its start, its end, or an event for its decision module.
type Event struct {
	Start  *Start       // set if the instance starts
	Retire bool         // set if the instance ends
	Module decide.Event // the event for the decision module, if the instance neither starts nor ends
}

// Group holds the events of one instance, in order. Node is the instance's node number.
type Group struct {
	Node   int
	Events []Event
}

// Batch is one line from the simulator: the current time, and the events by instance.
type Batch struct {
	Now    decide.Time
	Groups []Group
}

// missingFieldError reports a required field that an object lacks, by the name of the field.
type missingFieldError string

func (m missingFieldError) Error() string { return string(m) + " is missing" }

type batchJSON struct {
	Now    *int64      `json:"sim_time_ns"`
	Groups []groupJSON `json:"groups"`
}

type groupJSON struct {
	Node     *int                         `json:"node_id"`
	Happened []map[string]json.RawMessage `json:"happened"`
}

// DecodeBatch decodes one line. An error names the node and the index of the event that it is about.
func DecodeBatch(line []byte) (Batch, error) {
	var in batchJSON
	if err := json.Unmarshal(line, &in); err != nil {
		return Batch{}, fmt.Errorf("batch: %w", err)
	}
	if in.Now == nil {
		return Batch{}, errors.New("batch: sim_time_ns is missing")
	}
	batch := Batch{Now: time.Duration(*in.Now)}
	for i, group := range in.Groups {
		if group.Node == nil {
			return Batch{}, fmt.Errorf("group %d: node_id is missing", i)
		}
		decoded, err := decodeGroup(*group.Node, group.Happened)
		if err != nil {
			return Batch{}, err
		}
		batch.Groups = append(batch.Groups, decoded)
	}
	return batch, nil
}

func decodeGroup(node int, events []map[string]json.RawMessage) (Group, error) {
	group := Group{Node: node}
	for i, event := range events {
		position := fmt.Sprintf("node %d, event %d", node, i)
		if len(event) != 1 {
			return Group{}, fmt.Errorf("%s: want one key, got %d", position, len(event))
		}
		for name, raw := range event {
			decoded, err := decodeEvent(name, raw)
			if err != nil {
				return Group{}, fmt.Errorf("%s, %s: %w", position, name, err)
			}
			group.Events = append(group.Events, decoded)
		}
	}
	return group, nil
}
