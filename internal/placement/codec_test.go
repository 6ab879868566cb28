package placement

import (
	"testing"
)

func TestCodec(t *testing.T) {
	stores := testStores(14, 3)
	table := mustCreate(t, stores, PolicyFor(2))
	reportAll(table, stores)
	stores[3].Alive = false
	table, _ = Next(table, stores, PolicyFor(2))
	reportAll(table, stores)
	table, _ = Next(table, stores, PolicyFor(2))
	data, err := Encode(table)
	if err != nil {
		t.Fatal(err)
	}
	got, err := Decode(data)
	if err != nil {
		t.Fatal(err)
	}
	if !got.Equal(table) {
		t.Fatalf("got %+v, want %+v", got, table)
	}
	if empty, err := Decode(nil); err != nil || len(empty.Partitions) > 0 || empty.Version != 0 {
		t.Errorf("decode no data: got %+v, %v; want an empty table", empty, err)
	}
	if _, err := Decode(data[:len(data)/2]); err == nil {
		t.Error("decode half a message: got no error, want one")
	}
}
