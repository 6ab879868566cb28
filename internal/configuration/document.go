package configuration

import (
	"bytes"
	"encoding/json"
	"errors"
	"io"
	"unicode/utf8"

	"nickelline/internal/fault"
)

// Names of the document's top-level fields.
const (
	versionField  = "version"
	routesField   = "routes"
	servicesField = "services"
	tenantsField  = "tenants"
	limitsField   = "limits"
)

// Document is one version of the operator's configuration, as decoded. It is immutable.
type Document struct {
	version uint64
	root    map[string]any
}

// Parse decodes a whole document. It checks only that the document is one JSON object with a version; Check checks the rest.
// Errors are of kind fault.InvalidConfiguration.
func Parse(body []byte) (*Document, error) {
	root, err := decodeObject(body)
	if err != nil {
		return nil, err
	}
	version, err := readVersion(root)
	if err != nil {
		return nil, err
	}
	return &Document{version: version, root: root}, nil
}

// Read decodes a whole document, checks it and compiles it. It is how every process reads a configuration: what it refuses must never
// be in force. Errors are of kind fault.InvalidConfiguration.
func Read(encoded []byte) (*Document, *Snapshot, error) {
	document, err := Parse(encoded)
	if err != nil {
		return nil, nil, err
	}
	snapshot, err := Compile(document)
	if err != nil {
		return nil, nil, err
	}
	return document, snapshot, nil
}

// Version returns the version that the document carries.
func (d *Document) Version() uint64 { return d.version }

// Encode returns the document as JSON, with all fields that the operator sent, including unknown ones.
func (d *Document) Encode() []byte {
	var buffer bytes.Buffer
	encoder := json.NewEncoder(&buffer)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(d.root); err != nil {
		panic("a decoded JSON document cannot be encoded: " + err.Error())
	}
	return bytes.TrimSuffix(buffer.Bytes(), []byte("\n"))
}

// decodeObject decodes exactly one JSON object. Numbers are decoded as json.Number, which keeps their text.
func decodeObject(body []byte) (map[string]any, error) {
	if !utf8.Valid(body) {
		return nil, unreadableError("the text is not valid UTF-8")
	}
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.UseNumber()
	var root map[string]any
	if err := decoder.Decode(&root); err != nil {
		return nil, unreadableError("%v", err)
	}
	if root == nil {
		return nil, unreadableError("it is null")
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return nil, unreadableError("more text follows the document")
	}
	return root, nil
}

// unreadableError returns the error for a document that is not exactly one JSON object.
func unreadableError(format string, arguments ...any) error {
	return fault.New(fault.InvalidConfiguration, "the document cannot be read: "+format, arguments...)
}

// readVersion returns the version of a document.
func readVersion(root map[string]any) (uint64, error) {
	collector := &problemCollector{}
	version := node{collector: collector, value: root}.version()
	return version, collector.error()
}
