package configuration

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
)

func TestMatchTakesTheLongestPrefix(t *testing.T) {
	s := mustCompile(t, example)
	cases := []struct{ host, path, want string }{
		{"ficu95.example", "/lohu930/", "chat"},
		{"ficu95.example", "/lohu930/2f", "chat"},
		{"ficu95.example", "/lohu930/cards", "chat"},
		{"ficu95.example", "/lohu930/cards/", "cards"},
		{"ficu95.example", "/lohu930/cards/5/6", "cards"},
		{"FICU95.example:8080", "/lohu930/cards/5", "cards"},
		{"ficu95.example", "/lohu930", ""},
		{"ficu95.example", "/LOHU930/2f", ""},
		{"ficu95.example", "/lohu9300/2f", ""},
		{"ficu95.example", "/", ""},
		{"ficu95.example", "", ""},
		{"other.example", "/lohu930/2f", ""},
		{"", "/lohu930/2f", ""},
	}
	for _, c := range cases {
		got := ""
		if route := s.Match(c.host, c.path); route != nil {
			got = route.Name
		}
		if got != c.want {
			t.Errorf("Match(%q, %q): got route %q, want %q", c.host, c.path, got, c.want)
		}
	}
}

func TestMatchOfAnEmptySnapshot(t *testing.T) {
	s := &Snapshot{}
	if s.Match("h", "/p/") != nil || s.Tenant("k") != nil || s.ServiceByName("s") != nil || s.RequiresKey() {
		t.Error("an empty snapshot: got a route, a tenant, a service or a required key, want none")
	}
}

// TestMatchEqualsLinearSearch compares Match with a linear search over random prefixes.
func TestMatchEqualsLinearSearch(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 2))
	part := func() string { return strings.Repeat(string(rune('a'+random.IntN(2))), random.IntN(3)) + "/" }
	path := func(parts int) string {
		text := "/"
		for range parts {
			text += part()
		}
		return text
	}
	for range 200 {
		prefixes := map[string]bool{}
		var routes []string
		for range 1 + random.IntN(12) {
			prefix := path(random.IntN(4))
			if !prefixes[prefix] {
				prefixes[prefix] = true
				routes = append(routes, routeText(fmt.Sprintf(`{"name":%q,"pathPrefix":%q}`, prefix, prefix)))
			}
		}
		s := mustCompile(t, documentText(strings.Join(routes, ","), ""))
		for range 50 {
			requested := path(random.IntN(6)) + strings.Trim(part(), "/")
			want := ""
			for prefix := range prefixes {
				if strings.HasPrefix(requested, prefix) && len(prefix) > len(want) {
					want = prefix
				}
			}
			got := ""
			if found := s.Match("h", requested); found != nil {
				got = found.Name
			}
			if got != want {
				t.Fatalf("Match of %q among %v: got %q, want %q", requested, prefixes, got, want)
			}
		}
	}
}

func TestChooseFollowsTheWeights(t *testing.T) {
	s := mustCompile(t, example)
	chat := s.RouteByName("chat")
	counts := map[string]int{}
	const draws = 1000
	for i := range draws {
		counts[chat.Choose(float64(i)/draws).Name]++
	}
	if counts["huvo11a"] != 900 || counts["wuno96b"] != 100 {
		t.Errorf("got counts %v, want 900 of huvo11a and 100 of wuno96b", counts)
	}
	if name := s.RouteByName("cards").Choose(0.999).Name; name != "wuno96b" {
		t.Errorf("Choose of the route with one service: got %s, want wuno96b", name)
	}
	if last := chat.Choose(1).Name; last != "wuno96b" {
		t.Errorf("Choose at the end of the range: got %s, want wuno96b", last)
	}
	if (&Route{}).Choose(0) != nil {
		t.Error("Choose of a route without services: got one, want nil")
	}
}

func TestChooseLeavesOutWeightZero(t *testing.T) {
	text := documentText(routeText(`{"service":null,"trafficSplit":[{"service":"s","weight":0},{"service":"z","weight":3}]}`), "")
	r := mustCompile(t, text).Routes[0]
	for _, u := range []float64{0, 0.5, 0.999999} {
		if name := r.Choose(u).Name; name != "z" {
			t.Errorf("Choose(%v): got %s, want z", u, name)
		}
	}
}
