package configuration

import (
	"encoding/json"
	"maps"
	"slices"
	"strconv"
)

// Names of the fields of a patch and of its items.
const (
	upsertField = "upsert"
	removeField = "remove"
	nameField   = "name"
)

// Patch is a decoded change of named items.
type Patch struct {
	version uint64
	upsert  map[string][]namedItem
	remove  map[string][]string
	// limits holds the fields of the limits that are replaced.
	limits map[string]any
}

// namedItem is an element of a collection, and the name that stands in it.
type namedItem struct {
	name  string
	value any
}

// ParsePatch decodes a patch and checks its form.
func ParsePatch(body []byte) (*Patch, error) {
	root, err := decodeObject(body)
	if err != nil {
		return nil, err
	}
	collector := &problemCollector{}
	patch := readPatch(node{collector: collector, value: root})
	if err := collector.error(); err != nil {
		return nil, err
	}
	return patch, nil
}

// Version returns the version of the document that the patch makes.
func (p *Patch) Version() uint64 { return p.version }

// Patch merges a patch, given as JSON, into the document. The result has yet to be checked: see Check.
func (d *Document) Patch(body []byte) (*Document, error) {
	patch, err := ParsePatch(body)
	if err != nil {
		return nil, err
	}
	return d.Apply(patch), nil
}

// Apply merges a patch into the document: items are removed first, then added, or replaced where they stand. A name to
// be removed that is not there is passed over. The result has yet to be checked: see Check.
func (d *Document) Apply(p *Patch) *Document {
	result := &Document{version: p.version, root: maps.Clone(d.root)}
	result.root[versionField] = json.Number(strconv.FormatUint(p.version, 10))
	for collection, names := range p.remove {
		if items, isList := result.root[collection].([]any); isList {
			result.root[collection] = removeItems(items, names)
		}
	}
	for collection, items := range p.upsert {
		result.root[collection] = upsertItems(result.root[collection], items)
	}
	if p.limits != nil {
		result.root[limitsField] = mergeFields(result.root[limitsField], p.limits)
	}
	return result
}

// readPatch returns a patch.
func readPatch(root node) *Patch {
	p := &Patch{
		version: root.version(),
		upsert:  map[string][]namedItem{},
		remove:  map[string][]string{},
	}
	if limits := root.field(limitsField); !limits.isAbsent() && limits.requireObject() {
		p.limits = limits.value.(map[string]any)
	}
	for _, collection := range fieldsOf(root.field(upsertField)) {
		p.readUpsert(collection)
	}
	for _, collection := range fieldsOf(root.field(removeField)) {
		p.remove[collection.name] = readNames(collection.node)
	}
	return p
}

// namedField is a field of an object, and its name.
type namedField struct {
	name string
	node node
}

// fieldsOf returns the fields of an object in the order of their names, null ones left out; none for an absent object.
func fieldsOf(n node) []namedField {
	if n.isAbsent() || !n.requireObject() {
		return nil
	}
	var fields []namedField
	for _, name := range slices.Sorted(maps.Keys(n.value.(map[string]any))) {
		if field := n.field(name); !field.isAbsent() {
			fields = append(fields, namedField{name: name, node: field})
		}
	}
	return fields
}

// readUpsert takes the items of one collection that are to be added or replaced.
func (p *Patch) readUpsert(m namedField) {
	if m.name == limitsField {
		if m.node.requireObject() {
			p.limits = m.node.value.(map[string]any)
		}
		return
	}
	for _, element := range m.node.list() {
		if element.requireObject() {
			name := element.field(nameField).requiredText()
			p.upsert[m.name] = append(p.upsert[m.name], namedItem{name: name, value: element.value})
		}
	}
}

// readNames returns the names of a list.
func readNames(list node) []string {
	var names []string
	for _, element := range list.list() {
		names = append(names, element.requiredText())
	}
	return names
}

// removeItems returns a collection without the items that have one of the names.
func removeItems(items []any, names []string) []any {
	removed := make(map[string]bool, len(names))
	for _, name := range names {
		removed[name] = true
	}
	kept := make([]any, 0, len(items))
	for _, value := range items {
		if !removed[itemName(value)] {
			kept = append(kept, value)
		}
	}
	return kept
}

// upsertItems returns a collection with items replaced where they stand, or added at its end.
func upsertItems(collection any, items []namedItem) []any {
	present, _ := collection.([]any)
	result := slices.Clone(present)
	positions := make(map[string]int, len(result))
	for i, value := range result {
		positions[itemName(value)] = i
	}
	for _, entry := range items {
		position, found := positions[entry.name]
		if found {
			result[position] = entry.value
			continue
		}
		positions[entry.name] = len(result)
		result = append(result, entry.value)
	}
	return result
}

// mergeFields returns an object with some of its fields replaced.
func mergeFields(object any, fields map[string]any) map[string]any {
	present, _ := object.(map[string]any)
	result := maps.Clone(present)
	if result == nil {
		result = map[string]any{}
	}
	maps.Copy(result, fields)
	return result
}

// itemName returns the name of an item, empty if it has none.
func itemName(value any) string {
	object, _ := value.(map[string]any)
	name, _ := object[nameField].(string)
	return name
}
