package delta

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"testing"
)

// testValue returns a value with the given number of entries. One entry of 500 contains the version.
func testValue(entries, version int) []byte {
	var value bytes.Buffer
	for i := range entries {
		number := 0
		if i%500 == 7 {
			number = version
		}
		fmt.Fprintf(&value, `{"name":"tenant-%d","apiKeys":["key-%016x"],"ratePerS":%d},`, i, uint64(i)*0x9e3779b97f4a7c15, number)
	}
	return value.Bytes()
}

// mustDifference returns the difference of two values, and fails the test on an error.
func mustDifference(t testing.TB, earlier, value []byte) []byte {
	t.Helper()
	difference, err := Difference(earlier, value)
	if err != nil {
		t.Fatal(err)
	}
	return difference
}

func TestDifference(t *testing.T) {
	noise := make([]byte, 70_000)
	for i := range noise {
		noise[i] = byte(rand.Uint32())
	}
	long := testValue(40_000, 1) // 3 MB
	for name, c := range map[string]struct{ earlier, value []byte }{
		"changed entries":                  {testValue(1000, 1), testValue(1000, 2)},
		"unchanged":                        {testValue(1000, 1), testValue(1000, 1)},
		"from nothing":                     {nil, testValue(10, 1)},
		"to nothing":                       {testValue(10, 1), nil},
		"nothing in common":                {testValue(1000, 1), noise},
		"shorter":                          {testValue(1000, 1), testValue(400, 1)},
		"changed entries of a large value": {long, testValue(40_000, 2)},
	} {
		t.Run(name, func(t *testing.T) {
			got, err := Apply(c.earlier, mustDifference(t, c.earlier, c.value))
			if err != nil || !bytes.Equal(got, c.value) {
				t.Fatalf("value: got %d bytes, %v, want %d bytes", len(got), err, len(c.value))
			}
		})
	}
}

func TestCompress(t *testing.T) {
	for _, value := range [][]byte{nil, []byte("short"), testValue(2000, 1)} {
		frame, err := Compress(value)
		if err != nil {
			t.Fatal(err)
		}
		if got, err := Decompress(frame); err != nil || !bytes.Equal(got, value) {
			t.Errorf("value: got %d bytes, %v, want %d bytes", len(got), err, len(value))
		}
	}
}

// TestDifferenceIsSmall checks that a difference that changes 1 entry of 500 takes at most 500 bytes per 1000 entries,
// for small and for large values.
func TestDifferenceIsSmall(t *testing.T) {
	const bytesPerThousandEntries = 500
	for _, entries := range []int{1000, 20_000} {
		if difference := mustDifference(t, testValue(entries, 1), testValue(entries, 2)); len(difference) > bytesPerThousandEntries*entries/1000 {
			t.Errorf("difference of %d entries: got %d bytes, want at most %d", entries, len(difference), bytesPerThousandEntries*entries/1000)
		}
	}
}

// TestInvalidDifference checks that a difference never gives a wrong value when it is truncated or damaged, or applied
// to another value.
func TestInvalidDifference(t *testing.T) {
	earlier, value := testValue(1000, 1), testValue(1000, 2)
	difference := mustDifference(t, earlier, value)
	if got, err := Apply(testValue(1000, 3), difference); err == nil && !bytes.Equal(got, value) {
		t.Error("difference applied to another value: got a wrong value, want an error")
	}
	if got, err := Apply(nil, difference); err == nil {
		t.Errorf("difference applied to nothing: got %d bytes, want an error", len(got))
	}
	if got, err := Decompress(difference); err == nil {
		t.Errorf("difference unpacked by itself: got %d bytes, want an error", len(got))
	}
	for i := range difference {
		damaged := bytes.Clone(difference)
		damaged[i] ^= 1 << (i % 8)
		if got, err := Apply(earlier, damaged); err == nil && !bytes.Equal(got, value) {
			t.Fatalf("difference with byte %d damaged: got a wrong value of %d bytes, want an error", i, len(got))
		}
		if got, err := Apply(earlier, difference[:i]); err == nil && !bytes.Equal(got, value) {
			t.Fatalf("difference truncated to %d bytes: got a wrong value of %d bytes, want an error", i, len(got))
		}
	}
}

func BenchmarkDifference(b *testing.B) {
	earlier, value := testValue(2000, 1), testValue(2000, 2)
	var difference []byte
	for b.Loop() {
		difference = mustDifference(b, earlier, value)
	}
	b.SetBytes(int64(len(value)))
	b.ReportMetric(float64(len(difference)), "bytes")
}

func BenchmarkApply(b *testing.B) {
	earlier, value := testValue(2000, 1), testValue(2000, 2)
	difference := mustDifference(b, earlier, value)
	for b.Loop() {
		if _, err := Apply(earlier, difference); err != nil {
			b.Fatal(err)
		}
	}
	b.SetBytes(int64(len(value)))
}
