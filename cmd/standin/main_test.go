package main

import "testing"

func TestParseBackend(t *testing.T) {
	b, err := parseBackend("writer,zone-a,127.0.2.1:9100,16")
	if err != nil || b.Service != "writer" || b.Zone != "zone-a" || b.Address.String() != "127.0.2.1:9100" || b.Slots != 16 {
		t.Errorf("with slots: got %+v, error %v, want the four fields parsed", b, err)
	}
	if b, err := parseBackend("writer,zone-a,127.0.2.1:9100"); err != nil || b.Slots != defaultSlots {
		t.Errorf("without slots: got %+v, error %v, want %d slots", b, err, defaultSlots)
	}
	for _, text := range []string{"", "writer,zone-a", "writer,zone-a,host:80", "writer,zone-a,127.0.2.1:80,0", ",zone-a,127.0.2.1:80", "a,b,127.0.2.1:80,1,2"} {
		if b, err := parseBackend(text); err == nil {
			t.Errorf("%q: got %+v without an error, want an error", text, b)
		}
	}
}
