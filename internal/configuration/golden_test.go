package configuration

import (
	"fmt"
	"strings"
	"testing"

	"nickelline/internal/fault"
	"nickelline/internal/golden"
)

// TestGoldenProblems compares the texts of all problems of invalid documents and patches, which operators read.
func TestGoldenProblems(t *testing.T) {
	var output strings.Builder
	for _, document := range invalidDocuments {
		writeProblems(&output, document.name, Check(mustParse(t, document.text)))
	}
	for _, text := range unreadableDocuments {
		_, err := Parse([]byte(text))
		writeProblems(&output, fmt.Sprintf("%.40q", text), err)
	}
	for _, text := range []string{
		`{}`, `{"version":2,"upsert":[]}`, `{"version":2,"upsert":{"routes":{}}}`, `{"version":2,"upsert":{"routes":[1,{}]}}`,
		`{"version":2,"remove":{"routes":[1]}}`, `{"version":2,"limits":1}`,
	} {
		_, err := ParsePatch([]byte(text))
		writeProblems(&output, "patch "+text, err)
	}
	writeProblems(&output, "many problems", Check(mustParse(t, documentText(strings.Repeat(`{},`, 30)+`{}`, ""))))
	golden.Text(t, "problems.txt", output.String())
}

func writeProblems(output *strings.Builder, name string, err error) {
	fmt.Fprintf(output, "== %s (%s)\n", name, fault.KindOf(err))
	for _, problem := range Problems(err) {
		fmt.Fprintln(output, problem)
	}
}

// TestGoldenDocument compares the encoding of a document, which is stored and returned to the operator.
func TestGoldenDocument(t *testing.T) {
	golden.Text(t, "document.json", string(mustParse(t, example).Encode()))
}
