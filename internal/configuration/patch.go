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
	upsert  map[string][]item
	remove  map[string][]string
	// limits holds the fields of the limits that are replaced.
	limits map[string]any
}

// item is an element of a collection, and the name that stands in it.
type item struct {
	name  string
	value any
}

// ParsePatch decodes a patch and checks its form.
func ParsePatch(body []byte) (*Patch, error) {
	root, err := decodeObject(body)
	if err != nil {
		return nil, err
	}
	r := &problemCollector{}
	patch := readPatch(node{collector: r, value: root})
	if err := r.error(); err != nil {
		return nil, err
	}
	return patch, nil
}

// Version is the version of the document that the patch makes.
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
		if items, is := result.root[collection].([]any); is {
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

func readPatch(root node) *Patch {
	p := &Patch{
		version: root.version(),
		upsert:  map[string][]item{},
		remove:  map[string][]string{},
	}
	if limits := root.field(limitsField); !limits.absent() && limits.object() {
		p.limits = limits.value.(map[string]any)
	}
	for _, collection := range members(root.field(upsertField)) {
		p.readUpsert(collection)
	}
	for _, collection := range members(root.field(removeField)) {
		p.remove[collection.name] = readNames(collection.node)
	}
	return p
}

// member is a field of an object, and its name.
type member struct {
	name string
	node node
}

// members gives the fields of an object in the order of their names, null ones left out; none for an absent object.
func members(n node) []member {
	if n.absent() || !n.object() {
		return nil
	}
	var fields []member
	for _, name := range slices.Sorted(maps.Keys(n.value.(map[string]any))) {
		if field := n.field(name); !field.absent() {
			fields = append(fields, member{name: name, node: field})
		}
	}
	return fields
}

func (p *Patch) readUpsert(m member) {
	if m.name == limitsField {
		if m.node.object() {
			p.limits = m.node.value.(map[string]any)
		}
		return
	}
	for _, element := range m.node.list() {
		if element.object() {
			name := element.field(nameField).requiredText()
			p.upsert[m.name] = append(p.upsert[m.name], item{name: name, value: element.value})
		}
	}
}

func readNames(list node) []string {
	var names []string
	for _, element := range list.list() {
		names = append(names, element.requiredText())
	}
	return names
}

// removeItems gives a collection without the items that have one of the names.
func removeItems(items []any, names []string) []any {
	unwanted := make(map[string]bool, len(names))
	for _, name := range names {
		unwanted[name] = true
	}
	kept := make([]any, 0, len(items))
	for _, value := range items {
		if !unwanted[itemName(value)] {
			kept = append(kept, value)
		}
	}
	return kept
}

// upsertItems gives a collection with items replaced where they stand, or added at its end.
func upsertItems(collection any, items []item) []any {
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

// mergeFields gives an object with some of its fields replaced.
func mergeFields(object any, fields map[string]any) map[string]any {
	present, _ := object.(map[string]any)
	result := maps.Clone(present)
	if result == nil {
		result = map[string]any{}
	}
	maps.Copy(result, fields)
	return result
}

func itemName(value any) string {
	object, _ := value.(map[string]any)
	name, _ := object[nameField].(string)
	return name
}
