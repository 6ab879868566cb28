package store

import (
	"nickelline/internal/admission"
	"nickelline/internal/batch"
	"nickelline/internal/configuration"
	"strings"
)

func admissionRequest(snapshot *configuration.Snapshot, route *configuration.Route, t *task) admission.Request {
	request := admission.Request{Batch: true, Urgent: t.job.urgency.isPressing(), Priority: route.Priority, Tokens: int(t.item.Tokens), Prefix: prefixOf(&t.item)}
	if tenant := snapshot.TenantByName(t.job.open.Key.Tenant); tenant != nil && tenant.HasPriority {
		request.Priority = tenant.Priority
	}
	if avoid := t.avoid; avoid != "" {
		request.Exclude = func(id string) bool { return id == avoid }
	}
	return request
}

// headerPromptPrefix names the parts of an item's prompt, each as ID:TOKENS. The last one belongs to the item alone.
const headerPromptPrefix = "Nickelline-Prompt-Prefix"

func prefixOf(item *batch.OpenItem) []string {
	for _, header := range item.Headers {
		if strings.EqualFold(header.Name, headerPromptPrefix) {
			return sharedParts(header.Value)
		}
	}
	return nil
}

func sharedParts(value string) []string {
	parts := strings.Split(value, ",")
	shared := make([]string, 0, len(parts))
	for _, part := range parts[:len(parts)-1] {
		id, _, _ := strings.Cut(strings.TrimSpace(part), ":")
		shared = append(shared, id)
	}
	return shared
}
