package configuration

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"reflect"
	"strings"
	"testing"

	"nickelline/internal/fault"
)

func mustPatch(t testing.TB, d *Document, text string) *Document {
	t.Helper()
	patched, err := d.Patch([]byte(text))
	if err != nil {
		t.Fatalf("the patch is refused: %v", err)
	}
	return patched
}

func TestPatchOfTheExample(t *testing.T) {
	before := mustParse(t, example)
	text := string(before.Encode())
	after := mustPatch(t, before, `{"version":9,"upsert":{"routes":[
		{"name":"chat","hostname":"ficu95.example","pathPrefix":"/lohu930/","timeoutMs":99,"service":"huvo11a"},
		{"name":"new","hostname":"ficu95.example","pathPrefix":"/new/","timeoutMs":1,"service":"third"}],
		"services":[{"name":"third"}],"tenants":[{"name":"free","apiKeys":["key-9"]}]},
		"remove":{"routes":["cards","r-old"],"tenants":["huka270"],"nothing":["x"]}}`)
	if string(before.Encode()) != text {
		t.Error("the patch changed the document that it was applied to")
	}
	s, err := Compile(after)
	if err != nil {
		t.Fatal(err)
	}
	var names []string
	for _, route := range s.Routes {
		names = append(names, route.Name)
	}
	if !reflect.DeepEqual(names, []string{"chat", "lots", "new"}) {
		t.Errorf("routes %v", names)
	}
	if s.Version != 9 || s.RouteByName("chat").Timeout.Milliseconds() != 99 || s.RouteByName("chat").Kind != NonIdempotent {
		t.Errorf("the route is not replaced whole: %+v", s.RouteByName("chat"))
	}
	if s.Tenant("key-1") != nil || s.Tenant("key-3") != nil || s.Tenant("key-9") == nil {
		t.Errorf("tenants %+v", s.Tenants)
	}
	if s.ServiceByName("third") == nil || len(s.Services) != 3 {
		t.Errorf("services %+v", s.Services)
	}
	if _, found := after.root["nothing"]; found {
		t.Error("removing from a collection that is not there made one")
	}
}

func TestPatchOfLimits(t *testing.T) {
	for _, text := range []string{
		`{"version":9,"upsert":{"limits":{"idleTimeoutMs":5000}}}`, `{"version":9,"limits":{"idleTimeoutMs":5000}}`,
	} {
		s, err := Compile(mustPatch(t, mustParse(t, example), text))
		if err != nil {
			t.Fatal(err)
		}
		if s.Limits.IdleTimeout.Milliseconds() != 5000 || s.Limits.MaxHeaderBytes != 16384 {
			t.Errorf("%s: %+v", text, s.Limits)
		}
	}
}

func TestPatchRemovesBeforeItAdds(t *testing.T) {
	patched := mustPatch(t, mustParse(t, example), `{"version":9,"remove":{"tenants":["free"]},"upsert":{"tenants":[{"name":"free","apiKeys":["key-8"]}]}}`)
	s, err := Compile(patched)
	if err != nil || s.Tenant("key-8") == nil || s.Tenant("key-3") != nil {
		t.Errorf("got %v, %v", s, err)
	}
}

func TestLastTenantRemovedStillNeedsKeys(t *testing.T) {
	patched := mustPatch(t, mustParse(t, example), `{"version":9,"remove":{"tenants":["free","huka270"]}}`)
	s, err := Compile(patched)
	if err != nil || !s.RequiresKey() || len(s.Tenants) != 0 {
		t.Errorf("got %+v, %v", s, err)
	}
}

func TestInvalidPatches(t *testing.T) {
	unreadable := []string{
		"", "{", "[]", `{}`, `{"version":"9"}`, `{"version":9,"upsert":[]}`, `{"version":9,"upsert":{"routes":{}}}`,
		`{"version":9,"upsert":{"routes":["r"]}}`, `{"version":9,"upsert":{"routes":[{"hostname":"h"}]}}`,
		`{"version":9,"remove":["r"]}`, `{"version":9,"remove":{"routes":"r"}}`, `{"version":9,"remove":{"routes":[5]}}`,
		`{"version":9,"upsert":{"limits":[]}}`, `{"version":9,"remove":{"routes":["r"]}`,
	}
	document := mustParse(t, example)
	for _, text := range unreadable {
		if _, err := document.Patch([]byte(text)); fault.KindOf(err) != fault.InvalidConfiguration {
			t.Errorf("%s: %v", text, err)
		}
	}
	invalid := map[string]string{
		"unknown service": `{"version":9,"upsert":{"routes":[{"name":"n","hostname":"h","pathPrefix":"/n/","timeoutMs":1,"service":"x"}]}}`,
		"service in use":  `{"version":9,"remove":{"services":["wuno96b"]}}`,
		"same place":      `{"version":9,"upsert":{"routes":[{"name":"n","hostname":"ficu95.example","pathPrefix":"/lohu930/","timeoutMs":1,"service":"huvo11a"}]}}`,
		"shared key":      `{"version":9,"upsert":{"tenants":[{"name":"n","apiKeys":["key-1"]}]}}`,
	}
	for name, text := range invalid {
		if err := Check(mustPatch(t, document, text)); fault.KindOf(err) != fault.InvalidConfiguration {
			t.Errorf("%s: %v", name, err)
		}
	}
}

// TestKeyMovesBetweenTenants passes a key on from one tenant to another within one patch.
func TestKeyMovesBetweenTenants(t *testing.T) {
	patched := mustPatch(t, mustParse(t, example), `{"version":9,"upsert":{"tenants":[
		{"name":"free","apiKeys":["key-3","key-1"]},{"name":"huka270","apiKeys":["key-2"]}]}}`)
	s, err := Compile(patched)
	if err != nil || s.Tenant("key-1").Name != "free" {
		t.Errorf("got %v", err)
	}
}

// model is a document as plain collections of named texts: what patches are compared with.
type model map[string]map[string]string

func (m model) document(version int) string {
	var collections []string
	for _, collection := range []string{routesField, servicesField, tenantsField} {
		var items []string
		for _, text := range m[collection] {
			items = append(items, text)
		}
		collections = append(collections, fmt.Sprintf("%q:[%s]", collection, strings.Join(items, ",")))
	}
	return fmt.Sprintf(`{"version":%d,%s}`, version, strings.Join(collections, ","))
}

// byName returns the collections of a document by the names of their items.
func byName(t *testing.T, d *Document) map[string]map[string]any {
	t.Helper()
	result := map[string]map[string]any{}
	for collection, value := range d.root {
		if list, isList := value.([]any); isList {
			result[collection] = map[string]any{}
			for _, element := range list {
				result[collection][itemName(element)] = element
			}
			if len(result[collection]) != len(list) {
				t.Fatalf("a name stands twice in %s", collection)
			}
		}
	}
	return result
}

// TestRandomPatchesEqualTheWhole merges random patches one by one and compares each result with the document built whole.
func TestRandomPatchesEqualTheWhole(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		want := model{routesField: {}, servicesField: {}, tenantsField: {}}
		document := mustParse(t, want.document(1))
		for version := 2; version < 60; version++ {
			document = mustPatch(t, document, randomPatch(random, want, version))
			expected := mustParse(t, want.document(version))
			if !reflect.DeepEqual(byName(t, document), byName(t, expected)) {
				t.Fatalf("seed %d, version %d:\n%s\nis not\n%s", seed, version, document.Encode(), expected.Encode())
			}
			if document.Version() != uint64(version) || mustParse(t, string(document.Encode())).Version() != uint64(version) {
				t.Fatalf("seed %d: version %d is kept as %d", seed, version, document.Version())
			}
		}
	}
}

// randomPatch changes the model and returns the patch that does the same.
func randomPatch(random *rand.Rand, m model, version int) string {
	upsert, remove := map[string][]json.RawMessage{}, map[string][]string{}
	for collection, items := range m {
		names := random.Perm(12)
		for _, number := range names[:random.IntN(3)] {
			name := fmt.Sprintf("n%d", number)
			delete(items, name)
			remove[collection] = append(remove[collection], name)
		}
		for _, number := range names[:random.IntN(4)] {
			name := fmt.Sprintf("n%d", number)
			items[name] = fmt.Sprintf(`{"name":%q,"value":%d,"of":%q}`, name, random.IntN(1000), collection)
			upsert[collection] = append(upsert[collection], json.RawMessage(items[name]))
		}
	}
	text, err := json.Marshal(map[string]any{"version": version, "upsert": upsert, "remove": remove})
	if err != nil {
		panic(err)
	}
	return string(text)
}
