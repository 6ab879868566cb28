package batch

import (
	"slices"

	"nickelline/internal/batch/deflated"
)

// checkpoint is a chunk of the text of a running item.
type checkpoint struct {
	events    uint32 // number of events in the text up to the end of this chunk
	lastEvent string // the id of the last of them
	content   []byte // a block of package deflated
}

// checkpoints are the chunks of an item's text in order. The next run of the item continues after the last one.
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

// truncate removes the chunks after the given number of events, because a checkpoint may be appended twice and a run may start
// the text again. It returns false and removes nothing if no chunk ends at that number.
func (c *checkpoints) truncate(events uint32) bool {
	if events == 0 {
		*c = nil
		return true
	}
	last := slices.IndexFunc(*c, func(chunk checkpoint) bool { return chunk.events == events })
	if last < 0 {
		return false
	}
	*c = (*c)[:last+1]
	return true
}

// add appends a checkpoint.
func (c *checkpoints) add(r *Result) {
	*c = append(*c, checkpoint{events: r.Events, lastEvent: r.LastEvent, content: clone(r.Content)})
}

// join returns a block with the whole text: the chunks, followed by the text of the block rest.
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
