package configuration

import (
	"maps"
	"slices"
	"strconv"
)

// node is a value of a document, with its path for the texts of problems.
type node struct {
	collector *problemCollector
	path      string
	value     any
}

// addProblem records a problem of the value.
func (n node) addProblem(format string, arguments ...any) {
	n.collector.add(n.path, format, arguments...)
}

// field returns a field of an object. The result is absent if the object lacks the field, or if the field is null.
func (n node) field(name string) node {
	object, _ := n.value.(map[string]any)
	return node{collector: n.collector, path: n.fieldPath(name), value: object[name]}
}

func (n node) fieldPath(name string) string {
	switch {
	case n.collector.withoutPaths:
		return ""
	case n.path == "":
		return name
	}
	return n.path + "." + name
}

func (n node) elementPath(index int) string {
	if n.collector.withoutPaths {
		return ""
	}
	return n.path + "[" + strconv.Itoa(index) + "]"
}

// isAbsent reports whether the value is missing or null.
func (n node) isAbsent() bool { return n.value == nil }

// requireObject reports whether the value is an object, and records a problem if not.
func (n node) requireObject() bool {
	if _, isObject := n.value.(map[string]any); !isObject {
		n.addProblem("an object is needed")
		return false
	}
	return true
}

// allowFields records a problem for each field of an object that has none of the given names.
func (n node) allowFields(names ...string) {
	object, _ := n.value.(map[string]any)
	for _, name := range slices.Sorted(maps.Keys(object)) {
		if !slices.Contains(names, name) {
			n.field(name).addProblem("there is no such field")
		}
	}
}

// list returns the elements of a list; none if absent.
func (n node) list() []node {
	if n.isAbsent() {
		return nil
	}
	values, isList := n.value.([]any)
	if !isList {
		n.addProblem("a list is needed")
		return nil
	}
	elements := make([]node, len(values))
	for i, value := range values {
		elements[i] = node{collector: n.collector, path: n.elementPath(i), value: value}
	}
	return elements
}

// text returns a string; the empty string if absent.
func (n node) text() string {
	if n.isAbsent() {
		return ""
	}
	text, isString := n.value.(string)
	if !isString {
		n.addProblem("a string is needed")
	}
	return text
}

// requiredText returns a string, and records a problem if it is absent or empty.
func (n node) requiredText() string {
	if n.isAbsent() {
		n.addProblem("it is missing")
		return ""
	}
	text := n.text()
	if text == "" {
		n.addProblem("it must not be empty")
	}
	return text
}

// boolean returns a Boolean; false if absent.
func (n node) boolean() bool {
	if n.isAbsent() {
		return false
	}
	value, isBool := n.value.(bool)
	if !isBool {
		n.addProblem("true or false is needed")
	}
	return value
}
