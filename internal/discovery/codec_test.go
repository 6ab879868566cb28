package discovery

import (
	"fmt"
	"net/netip"
	"testing"
	"time"
)

func manyBackends(n int) []Backend {
	backends := make([]Backend, n)
	for i := range backends {
		backends[i] = Backend{
			ID:            fmt.Sprintf("i-%08x", i),
			Service:       fmt.Sprintf("service%d", i%5),
			Address:       netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 128, byte(i >> 8), byte(i)}), 8080),
			Zone:          fmt.Sprintf("zone%d", i%8),
			Version:       "v1",
			Slots:         96,
			Draining:      i%7 == 3,
			ColdRemaining: time.Duration(i%3) * time.Second,
		}
	}
	return backends
}

func TestEncodeDecode(t *testing.T) {
	for _, n := range []int{0, 1, 12, 3700} {
		list := NewList(manyBackends(n))
		data, err := Encode(list)
		if err != nil {
			t.Fatal(err)
		}
		got, err := Decode(data)
		if err != nil {
			t.Fatal(err)
		}
		if got.Len() != n {
			t.Fatalf("backends: got %d, want %d", got.Len(), n)
		}
		for i, b := range got.All() {
			if b != list.All()[i] {
				t.Fatalf("backend %d: got %+v, want %+v", i, b, list.All()[i])
			}
		}
	}
}

func TestDecodeDamaged(t *testing.T) {
	data, err := Encode(NewList(manyBackends(20)))
	if err != nil {
		t.Fatal(err)
	}
	for cut := range data {
		_, _ = Decode(data[:cut]) // must not panic
	}
	for i := range data {
		damaged := append([]byte(nil), data...)
		damaged[i] ^= 0xff
		_, _ = Decode(damaged) // must not panic
	}
}

func TestListGivesReadyBackendsOnly(t *testing.T) {
	list := NewList(manyBackends(70))
	ready := 0
	for i := range 5 {
		for _, b := range list.ByService(fmt.Sprintf("service%d", i)) {
			if b.Draining {
				t.Errorf("ByService: got %s, which is draining", b.ID)
			}
			ready++
		}
	}
	if ready != 60 {
		t.Errorf("ready backends: got %d, want 60", ready)
	}
	if b, ok := list.Get("i-00000003"); !ok || !b.Draining {
		t.Error("Get of a draining backend: want found and draining")
	}
	if _, ok := list.Get("i-unknown"); ok {
		t.Error("Get of an unlisted backend: got found, want not")
	}
}

func BenchmarkEncode(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		list := NewList(manyBackends(n))
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Encode(list); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

func BenchmarkDecode(b *testing.B) {
	for _, n := range []int{100, 1000, 10000} {
		data, err := Encode(NewList(manyBackends(n)))
		if err != nil {
			b.Fatal(err)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			for b.Loop() {
				if _, err := Decode(data); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
