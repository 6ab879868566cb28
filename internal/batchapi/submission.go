package batchapi

import (
	"encoding/json"
	"maps"
	"slices"
	"strings"

	"nickelline/internal/batch"
	"nickelline/internal/fault"
	"nickelline/internal/httpsyntax"
)

// maxItems is the greatest number of items in one job.
const maxItems = 200

// submission is the body of the request that submits a job.
type submission struct {
	BatchItems []submittedItem `json:"batchItems"`
}

type submittedItem struct {
	Identifier string            `json:"identifier"`
	Path       string            `json:"path"`
	Headers    map[string]string `json:"headers"`
	Body       []byte            `json:"body"`
	TokenCount int64             `json:"tokenCount"`
}

// decodeSubmission returns the items of a job, after checking them. Unknown fields are ignored.
func decodeSubmission(body []byte) ([]batch.Item, error) {
	var submitted submission
	if err := json.Unmarshal(body, &submitted); err != nil {
		return nil, fault.Wrap(fault.BadRequest, err)
	}
	if submitted.BatchItems == nil {
		return nil, fault.New(fault.BadRequest, "batchItems is missing")
	}
	if len(submitted.BatchItems) > maxItems {
		return nil, fault.New(fault.BadRequest, "batchItems has %d items, at most %d are allowed", len(submitted.BatchItems), maxItems)
	}
	items := make([]batch.Item, 0, len(submitted.BatchItems))
	seen := make(map[string]bool, len(submitted.BatchItems))
	for i := range submitted.BatchItems {
		item := &submitted.BatchItems[i]
		if err := item.check(); err != nil {
			return nil, err
		}
		if seen[item.Identifier] {
			return nil, fault.New(fault.BadRequest, "identifier %q is used by two items", item.Identifier)
		}
		seen[item.Identifier] = true
		items = append(items, item.convert())
	}
	return items, nil
}

// check returns an error if the item cannot be sent as a request.
func (i *submittedItem) check() error {
	switch {
	case !httpsyntax.IsToken(i.Identifier):
		return fault.New(fault.BadRequest, "identifier %q of an item is not a token", i.Identifier)
	case !strings.HasPrefix(i.Path, "/") || strings.ContainsFunc(i.Path, isControlOrSpace):
		return fault.New(fault.BadRequest, "item %s: path %q is invalid", i.Identifier, i.Path)
	case i.TokenCount < 0:
		return fault.New(fault.BadRequest, "item %s: tokenCount is negative", i.Identifier)
	}
	for name, value := range i.Headers {
		if !httpsyntax.IsToken(name) || !httpsyntax.IsFieldValue(value) {
			return fault.New(fault.BadRequest, "item %s: header %q is invalid", i.Identifier, name)
		}
	}
	return nil
}

func isControlOrSpace(c rune) bool { return c <= ' ' || c >= 0x7f }

// convert returns the item as it is stored, with its headers sorted by name.
func (i *submittedItem) convert() batch.Item {
	item := batch.Item{Identifier: i.Identifier, Path: i.Path, Body: i.Body, Tokens: i.TokenCount}
	for _, name := range slices.Sorted(maps.Keys(i.Headers)) {
		item.Headers = append(item.Headers, batch.Header{Name: name, Value: i.Headers[name]})
	}
	return item
}
