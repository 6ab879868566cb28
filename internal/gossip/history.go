package gossip

import "nickelline/internal/delta"

// Bounds of the steps that a history keeps. A longer history serves members that are further behind, but takes
// more memory.
const (
	maxSteps     = 16
	maxStepBytes = 32 << 10
)

// step holds the difference from one version of a value to a later one.
type step struct {
	from, to   Version
	difference []byte
}

// stepsBetween returns the step from a value to a newer one. It returns none if the difference cannot be computed, is
// longer than maxStepBytes or is not shorter than the newer value.
func stepsBetween(older, newer Value) []step {
	difference, err := delta.Difference(older.Data, newer.Data)
	if err != nil || len(difference) > maxStepBytes || len(difference) >= len(newer.Data) {
		return nil
	}
	return []step{{from: older.Version, to: newer.Version, difference: difference}}
}

// history holds the most recent steps to the local version, each of which begins where the previous one ends.
type history struct{ steps []step }

// extend appends the steps from the local version to its successor. If there are none, it clears the history.
func (h *history) extend(steps []step) {
	if len(steps) == 0 {
		h.steps = nil
		return
	}
	all := append(h.steps[:len(h.steps):len(h.steps)], steps...)
	for len(all) > maxSteps || stepBytes(all) > maxStepBytes {
		all = all[1:]
	}
	h.steps = all
}

// since returns the steps that lead from a version to the local one, and whether they are known.
func (h *history) since(base Version) ([]step, bool) {
	for i := range h.steps {
		if h.steps[i].from == base {
			return h.steps[i:], true
		}
	}
	return nil, false
}

func stepBytes(steps []step) int {
	bytes := 0
	for i := range steps {
		bytes += len(steps[i].difference)
	}
	return bytes
}

// update is a version that is sent to a member: the whole value, or the steps to it from a version that the member has.
// With steps, the value has no data.
type update struct {
	value Value
	steps []step
}

// bytes estimates the encoded size of the update.
func (u *update) bytes() int { return len(u.value.Data) + stepBytes(u.steps) }

// updateFrom returns the update for a member that has the base version, or needs the whole value if base is nil.
func (e *entry) updateFrom(base *Version) update {
	if base != nil {
		if steps, found := e.history.since(*base); found {
			return update{value: Value{Topic: e.value.Topic, Version: e.value.Version}, steps: steps}
		}
	}
	return update{value: e.value}
}

// reconstruct returns the value of an update, the steps that lead to it from the local version, and whether it succeeded.
// It fails if the steps do not lead from the local version to that of the update, or if a difference is damaged.
func (e *entry) reconstruct(u *update) (Value, []step, bool) {
	if len(u.steps) == 0 {
		return u.value, nil, true
	}
	if !e.present {
		return Value{}, nil, false
	}
	steps := u.steps
	for len(steps) > 0 && steps[0].from != e.value.Version {
		steps = steps[1:]
	}
	data := e.value.Data
	version := e.value.Version
	for i := range steps {
		if steps[i].from != version {
			return Value{}, nil, false
		}
		var err error
		if data, err = delta.Apply(data, steps[i].difference); err != nil {
			return Value{}, nil, false
		}
		version = steps[i].to
	}
	if len(steps) == 0 || version != u.value.Version {
		return Value{}, nil, false
	}
	return Value{Topic: u.value.Topic, Version: version, Data: data}, steps, true
}
