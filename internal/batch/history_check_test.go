package batch

// checkText checks the last checkpoint of an item after a checkpoint, or its whole text after a result.
func (h *history) checkText(key Key, item PendingItem, result Result) {
	if result.State == Waiting {
		now, _ := h.replicas[0].machine.PendingJob(key)
		for _, pending := range now.Items {
			if pending.Index == item.Index && (pending.Events != result.Events || pending.LastEvent != result.LastEvent) {
				h.t.Fatalf("%v: last event of item %d: got %q (number %d), want number %d", key, item.Index, pending.LastEvent, pending.Events, result.Events)
			}
		}
		return
	}
	var want string
	for number := uint32(1); number <= historyEvents; number++ {
		want += eventLine(item.Identifier, number)
	}
	page, _ := h.replicas[0].machine.Results(key, 0, 1<<30)
	for _, listed := range page.Results {
		if listed.Identifier == item.Identifier && original(h.t, listed.Content) != want {
			h.t.Fatalf("%v: text of %s: got %q, want %q", key, item.Identifier, original(h.t, listed.Content), want)
		}
	}
}

// checkAcknowledged compares the results of a job with those that clients have received before, and records the new ones.
func (h *history) checkAcknowledged(key Key) {
	page, ok := h.replicas[0].machine.Results(key, 0, 1<<30)
	known := h.acknowledged[key]
	if known == nil || !known.submitted {
		if ok {
			h.t.Fatalf("%v: got results, want none for a job that was not submitted", key)
		}
		return
	}
	if !ok {
		h.t.Fatalf("%v: got no results, want those of a known job", key)
	}
	h.compare(key, known.listed, page.Results)
	if known.ended && len(page.Results) != len(known.listed) {
		h.t.Fatalf("%v: results after its end: got %d, want %d", key, len(page.Results), len(known.listed))
	}
	known.listed = page.Results
}
