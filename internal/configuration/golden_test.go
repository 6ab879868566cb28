package configuration

import (
	"fmt"
	"strings"
	"testing"

	"nickelline/internal/fault"
	"nickelline/internal/golden"
)

// The texts of what the check finds in invalid documents: operators read them.
func TestGoldenProblems(t *testing.T) {
	var found strings.Builder
	for _, document := range invalidDocuments {
		writeProblems(&found, document.name, Check(mustParse(t, document.text)))
	}
	for _, text := range unreadableDocuments {
		_, err := Parse([]byte(text))
		writeProblems(&found, fmt.Sprintf("%.40q", text), err)
	}
	for _, text := range []string{
		`{}`, `{"version":2,"upsert":[]}`, `{"version":2,"upsert":{"routes":{}}}`, `{"version":2,"upsert":{"routes":[1,{}]}}`,
		`{"version":2,"remove":{"routes":[1]}}`, `{"version":2,"limits":1}`,
	} {
		_, err := ParsePatch([]byte(text))
		writeProblems(&found, "patch "+text, err)
	}
	writeProblems(&found, "many problems", Check(mustParse(t, whole(strings.Repeat(`{},`, 30)+`{}`, ""))))
	golden.Text(t, "problems.txt", found.String())
}

func writeProblems(found *strings.Builder, name string, err error) {
	fmt.Fprintf(found, "== %s (%s)\n", name, fault.KindOf(err))
	for _, problem := range Problems(err) {
		fmt.Fprintln(found, problem)
	}
}

// The document as it is encoded for storing and for the operator.
func TestGoldenDocument(t *testing.T) {
	golden.Text(t, "document.json", string(mustParse(t, example).Encode()))
}
