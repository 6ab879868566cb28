package batch

import (
	"slices"

	"nickelline/internal/batch/deflated"
)

// checkpoint is a chunk of the text of an item that runs.
type checkpoint struct {
	events    uint32 // of the text up to the end of this chunk
	lastEvent string // the id of the last of them
	content   []byte // a block of package deflated
}

// checkpoints are the chunks of an item's text in order. A further run continues after the last one.
type checkpoints []checkpoint

// events returns how many events the text has.
func (c checkpoints) events() uint32 {
	if len(c) == 0 {
		return 0
	}
	return c[len(c)-1].events
}

// lastEvent returns the id of the text's last event, empty if there is none.
func (c checkpoints) lastEvent() string {
	if len(c) == 0 {
		return ""
	}
	return c[len(c)-1].lastEvent
}

// truncate removes the chunks after a number of events: a checkpoint may be appended twice, and a text begun again. It reports
// whether a chunk ends there, and removes nothing otherwise.
func (c *checkpoints) truncate(events uint32) bool {
	if events == 0 {
		*c = nil
		return true
	}
	last := slices.IndexFunc(*c, func(one checkpoint) bool { return one.events == events })
	if last < 0 {
		return false
	}
	*c = (*c)[:last+1]
	return true
}

// add appends the chunk of a checkpoint.
func (c *checkpoints) add(r *Result) {
	*c = append(*c, checkpoint{events: r.Events, lastEvent: r.LastEvent, content: clone(r.Content)})
}

// join returns a block with the whole text, which ends with the given rest.
func (c checkpoints) join(rest []byte) []byte {
	if len(c) == 0 {
		return clone(rest)
	}
	blocks := make([][]byte, 0, len(c)+1)
	for _, chunk := range c {
		blocks = append(blocks, chunk.content)
	}
	return deflated.Join(append(blocks, rest)...)
}
