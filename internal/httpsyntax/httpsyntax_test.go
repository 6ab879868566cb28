package httpsyntax

import "testing"

func TestIsToken(t *testing.T) {
	for value := range 0x100 {
		c := byte(value)
		isSeparator := false
		for _, s := range []byte(`"(),/:;<=>?@[\]{}`) {
			isSeparator = isSeparator || c == s
		}
		want := c > ' ' && c < 0x7f && !isSeparator
		if got := IsToken([]byte{'X', c, 'A'}); got != want {
			t.Errorf("byte %#02x: got %v, want %v", c, got, want)
		}
	}
	if IsToken("") || !IsToken("X-A") {
		t.Error("got a token without a byte, or a name that is none")
	}
}

func TestIsFieldValue(t *testing.T) {
	for value := range 0x100 {
		c := byte(value)
		want := c == '\t' || c >= ' ' && c != 0x7f
		if got := IsFieldValue(string([]byte{'a', c})); got != want {
			t.Errorf("byte %#02x: got %v, want %v", c, got, want)
		}
	}
}
