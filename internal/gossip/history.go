package gossip

import "nickelline/internal/delta"

// Bounds of the steps that a history keeps. Longer ones help members that are further behind, and cost memory.
const (
	maxSteps     = 16
	maxStepBytes = 32 << 10
)

// step leads from one version of a value to a later one.
type step struct {
	from, to   Version
	difference []byte
}

// differences returns the step from a value to a newer one, or none where it would not save anything.
func differences(older, newer Value) []step {
	difference, err := delta.Difference(older.Data, newer.Data)
	if err != nil || len(difference) > maxStepBytes || len(difference) >= len(newer.Data) {
		return nil
	}
	return []step{{from: older.Version, to: newer.Version, difference: difference}}
}

// history holds the last steps to the present version, each of which begins where the one before it ends.
type history struct{ steps []step }

// extend appends the steps that led from the present version to the next one. Without any the history begins anew.
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

// since returns the steps that lead from a version to the present one, and whether they are known.
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

// update is a version on its way to a member: the whole value, or the steps to it from a version that the member has,
// and then without data.
type update struct {
	value Value
	steps []step
}

// bytes estimates the encoded size of the update.
func (u *update) bytes() int { return len(u.value.Data) + stepBytes(u.steps) }

// updateFrom returns the update for a member that has the base, nil if it has no version.
func (e *entry) updateFrom(base *Version) update {
	if base != nil {
		if steps, found := e.history.since(*base); found {
			return update{value: Value{Topic: e.value.Topic, Version: e.value.Version}, steps: steps}
		}
	}
	return update{value: e.value}
}

// read returns the value of an update, with the steps that lead to it from the present one. It reports whether that was
// possible: steps may begin at a version that is not present.
func (e *entry) read(u *update) (Value, []step, bool) {
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
