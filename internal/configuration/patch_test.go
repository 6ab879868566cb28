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
		t.Fatalf("Patch: got %v, want no error", err)
	}
	return patched
}

func TestPatch(t *testing.T) {
	before := mustParse(t, example)
	text := string(before.Encode())
	after := mustPatch(t, before, `{"version":9,"upsert":{"routes":[
		{"name":"chat","hostname":"ficu95.example","pathPrefix":"/lohu930/","timeoutMs":99,"service":"huvo11a"},
		{"name":"new","hostname":"ficu95.example","pathPrefix":"/new/","timeoutMs":1,"service":"third"}],
		"services":[{"name":"third"}],"tenants":[{"name":"free","apiKeys":["key-9"]}]},
		"remove":{"routes":["cards","r-old"],"tenants":["huka270"]}}`)
	if string(before.Encode()) != text {
		t.Error("the patch changed the document that it was applied to, want a changed copy")
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
		t.Errorf("got routes %v, want chat, lots and new", names)
	}
	if s.Version != 9 || s.RouteByName("chat").Timeout.Milliseconds() != 99 || s.RouteByName("chat").Kind != NonIdempotent {
		t.Errorf("got version %d, route %+v; want version 9 and all fields of the route replaced", s.Version, s.RouteByName("chat"))
	}
	if s.Tenant("key-1") != nil || s.Tenant("key-3") != nil || s.Tenant("key-9") == nil {
		t.Errorf("got tenants %+v, want only tenant free with key-9", s.Tenants)
	}
	if s.ServiceByName("third") == nil || len(s.Services) != 3 {
		t.Errorf("got services %+v, want 3 with service third", s.Services)
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
			t.Errorf("%s: got limits %+v, want an idle timeout of 5000 ms and the others unchanged", text, s.Limits)
		}
	}
}

func TestPatchRemovesBeforeItAdds(t *testing.T) {
	patched := mustPatch(t, mustParse(t, example), `{"version":9,"remove":{"tenants":["free"]},"upsert":{"tenants":[{"name":"free","apiKeys":["key-8"]}]}}`)
	s, err := Compile(patched)
	if err != nil || s.Tenant("key-8") == nil || s.Tenant("key-3") != nil {
		t.Errorf("got %v, %v; want key-8 in place of key-3", s, err)
	}
}

func TestKeysAreRequiredAfterTheLastTenantIsRemoved(t *testing.T) {
	patched := mustPatch(t, mustParse(t, example), `{"version":9,"remove":{"tenants":["free","huka270"]}}`)
	s, err := Compile(patched)
	if err != nil || !s.RequiresKey() || len(s.Tenants) != 0 {
		t.Errorf("got %+v, %v; want no tenants and keys required", s, err)
	}
}

func TestInvalidPatches(t *testing.T) {
	unreadable := []string{
		"", "{", "[]", `{}`, `{"version":"9"}`, `{"version":9,"upsert":[]}`, `{"version":9,"upsert":{"routes":{}}}`,
		`{"version":9,"upsert":{"routes":["r"]}}`, `{"version":9,"upsert":{"routes":[{"hostname":"h"}]}}`,
		`{"version":9,"remove":["r"]}`, `{"version":9,"remove":{"routes":"r"}}`, `{"version":9,"remove":{"routes":[5]}}`,
		`{"version":9,"remove":{"nothing":["x"]}}`, `{"version":9,"upsert":{"version":[{"name":"2"}]}}`, `{"version":9,"remove":{"version":["2"]}}`,
		`{"version":9,"upsert":{"pools":[{"name":"p"}]}}`, `{"version":9,"upsert":{"pools":[]}}`, `{"version":9,"remove":{"limits":["x"]}}`,
		`{"version":9,"upserts":{"routes":[]}}`, `{"version":9,"routes":[]}`,
		`{"version":9,"upsert":{"limits":[]}}`, `{"version":9,"remove":{"routes":["r"]}`,
	}
	document := mustParse(t, example)
	for _, text := range unreadable {
		if _, err := document.Patch([]byte(text)); fault.KindOf(err) != fault.InvalidConfiguration {
			t.Errorf("Patch(%s): got %v, want an error of kind %v", text, err, fault.InvalidConfiguration)
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
			t.Errorf("Check after patch %q: got %v, want an error of kind %v", name, err, fault.InvalidConfiguration)
		}
	}
}

// TestKeyMovesBetweenTenants moves a key from one tenant to another within one patch.
func TestKeyMovesBetweenTenants(t *testing.T) {
	patched := mustPatch(t, mustParse(t, example), `{"version":9,"upsert":{"tenants":[
		{"name":"free","apiKeys":["key-3","key-1"]},{"name":"huka270","apiKeys":["key-2"]}]}}`)
	s, err := Compile(patched)
	if err != nil || s.Tenant("key-1").Name != "free" {
		t.Errorf("got error %v, want key-1 to be a key of tenant free", err)
	}
}

// model is a reference document: the JSON texts of items by collection and name. Patched documents are compared with it.
type model map[string]map[string]string

// document returns the JSON text of the whole document.
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

// itemsByName returns the collections of a document by the names of their items.
func itemsByName(t *testing.T, d *Document) map[string]map[string]any {
	t.Helper()
	result := map[string]map[string]any{}
	for collection, value := range d.root {
		if list, isList := value.([]any); isList {
			result[collection] = map[string]any{}
			for _, element := range list {
				result[collection][itemName(element)] = element
			}
			if len(result[collection]) != len(list) {
				t.Fatalf("collection %s: got two items with one name", collection)
			}
		}
	}
	return result
}

// TestRandomPatchesEqualWholeDocuments merges random patches one by one, and compares each result with a document that is
// built whole from the model.
func TestRandomPatchesEqualWholeDocuments(t *testing.T) {
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 0))
		want := model{routesField: {}, servicesField: {}, tenantsField: {}}
		document := mustParse(t, want.document(1))
		for version := 2; version < 60; version++ {
			document = mustPatch(t, document, randomPatch(random, want, version))
			expected := mustParse(t, want.document(version))
			if !reflect.DeepEqual(itemsByName(t, document), itemsByName(t, expected)) {
				t.Fatalf("seed %d, version %d: got\n%s\nwant\n%s", seed, version, document.Encode(), expected.Encode())
			}
			if document.Version() != uint64(version) || mustParse(t, string(document.Encode())).Version() != uint64(version) {
				t.Fatalf("seed %d: got version %d, want %d in the document and in its encoding", seed, document.Version(), version)
			}
		}
	}
}

// randomPatch changes the model at random, and returns a patch that makes the same change.
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

// TestPatchOfAnUnknownCollection checks that a patch may change a list that this program does not know, but must not create one.
func TestPatchOfAnUnknownCollection(t *testing.T) {
	text := strings.Replace(example, `{"version"`, `{"pools":[{"name":"p"}],"version"`, 1)
	patched := mustPatch(t, mustParse(t, text), `{"version":9,"upsert":{"pools":[{"name":"q"}]},"remove":{"pools":["p"]}}`)
	if got := fmt.Sprint(patched.root["pools"]); got != "[map[name:q]]" {
		t.Errorf("got %s, want only q", got)
	}
	_, err := mustParse(t, example).Patch([]byte(`{"version":9,"upsert":{"pools":[{"name":"q"}]}}`))
	if want := "upsert.pools"; err == nil || !strings.Contains(err.Error(), want) {
		t.Errorf("patch of a missing collection: got error %v, want one that names %s", err, want)
	}
}
