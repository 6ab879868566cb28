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

// Patch is a decoded change of a document: items that are added, replaced or removed by name, and limits.
type Patch struct {
	version uint64
	upsert  map[string][]namedItem
	remove  map[string][]string
	// limits holds the fields of the document's limits that are replaced, nil if there are none.
	limits map[string]any
}

// namedItem is an element of a collection, and the value of its name field.
type namedItem struct {
	name  string
	value any
}

// ParsePatch decodes a patch and checks its form. Errors are of kind fault.InvalidConfiguration.
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

// Version returns the version that a patched document has.
func (p *Patch) Version() uint64 { return p.version }

// Patch returns the document with a patch, given as JSON, merged into it. The result may be invalid: the caller must Read what it
// encodes to.
func (d *Document) Patch(body []byte) (*Document, error) {
	patch, err := ParsePatch(body)
	if err != nil {
		return nil, err
	}
	return d.Apply(patch)
}

// Apply returns the document with a patch merged into it. Items are removed first; then items are replaced in place, or added
// at the end of their collection. A name to be removed that does not exist is ignored. A patch of anything but the collections of the
// document is refused. The result may be invalid: the caller must Read what it encodes to.
func (d *Document) Apply(p *Patch) (*Document, error) {
	if err := d.checkCollections(p); err != nil {
		return nil, err
	}
	result := &Document{version: p.version, root: maps.Clone(d.root)}
	result.root[versionField] = json.Number(strconv.FormatUint(p.version, 10))
	for collection, names := range p.remove {
		if items, isList := result.root[collection].([]any); isList {
			result.root[collection] = removeItems(items, names)
		}
	}
	for collection, items := range p.upsert {
		if len(items) > 0 {
			result.root[collection] = upsertItems(result.root[collection], items)
		}
	}
	if p.limits != nil {
		result.root[limitsField] = mergeFields(result.root[limitsField], p.limits)
	}
	return result, nil
}

// checkCollections returns an error of kind fault.InvalidConfiguration that names what the patch would change and is no collection.
func (d *Document) checkCollections(p *Patch) error {
	collector := &problemCollector{}
	for _, name := range slices.Sorted(maps.Keys(p.upsert)) {
		d.checkCollection(collector, upsertField, name)
	}
	for _, name := range slices.Sorted(maps.Keys(p.remove)) {
		d.checkCollection(collector, removeField, name)
	}
	return collector.error()
}

// checkCollection records a problem if a name is neither that of a list of the document nor of one that a document may have.
func (d *Document) checkCollection(collector *problemCollector, operation, name string) {
	switch name {
	case routesField, servicesField, tenantsField:
		return
	}
	if _, isList := d.root[name].([]any); !isList {
		collector.add(operation+"."+name, "the configuration has no list of this name")
	}
}

// readPatch reads a patch from the root of its document.
func readPatch(root node) *Patch {
	p := &Patch{
		version: root.version(),
		upsert:  map[string][]namedItem{},
		remove:  map[string][]string{},
	}
	root.allowFields(versionField, upsertField, removeField, limitsField)
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

// fieldsOf returns the fields of an object in the order of their names, except those that are null; none if absent.
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

// readUpsert reads the items of one collection that are to be added or replaced. The limits are also accepted here.
func (p *Patch) readUpsert(collection namedField) {
	if collection.name == limitsField {
		if collection.node.requireObject() {
			p.limits = collection.node.value.(map[string]any)
		}
		return
	}
	p.upsert[collection.name] = nil // checked even if the list is empty
	for _, element := range collection.node.list() {
		if element.requireObject() {
			name := element.field(nameField).requiredText()
			p.upsert[collection.name] = append(p.upsert[collection.name], namedItem{name: name, value: element.value})
		}
	}
}

// readNames reads a list of names.
func readNames(list node) []string {
	var names []string
	for _, element := range list.list() {
		names = append(names, element.requiredText())
	}
	return names
}

// removeItems returns a collection without the items that have one of the given names.
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

// upsertItems returns a collection with items replaced in place by name, or added at its end.
func upsertItems(collection any, items []namedItem) []any {
	existing, _ := collection.([]any)
	result := slices.Clone(existing)
	positions := make(map[string]int, len(result))
	for i, value := range result {
		positions[itemName(value)] = i
	}
	for _, item := range items {
		position, found := positions[item.name]
		if found {
			result[position] = item.value
			continue
		}
		positions[item.name] = len(result)
		result = append(result, item.value)
	}
	return result
}

// mergeFields returns a copy of an object with the given fields set.
func mergeFields(object any, fields map[string]any) map[string]any {
	existing, _ := object.(map[string]any)
	result := maps.Clone(existing)
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
