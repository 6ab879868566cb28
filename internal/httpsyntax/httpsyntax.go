// Package httpsyntax has the syntax elements of HTTP messages that both requests and responses are checked for.
package httpsyntax

// Text is a string or its bytes.
type Text interface{ ~string | ~[]byte }

// IsToken reports whether text is a token by RFC 9110 section 5.6.2, such as a method or a field name.
func IsToken[T Text](text T) bool {
	for i := range len(text) {
		if !isTokenByte[text[i]] {
			return false
		}
	}
	return len(text) > 0
}

// IsFieldValue reports whether text is a field value by RFC 9110 section 5.5: it has no control byte other than the tab. Blanks around
// it are allowed.
func IsFieldValue[T Text](text T) bool {
	for i := range len(text) {
		if c := text[i]; c < ' ' && c != '\t' || c == 0x7f {
			return false
		}
	}
	return true
}

// isTokenByte tells the bytes that a token may have.
var isTokenByte = tokenBytes()

func tokenBytes() (allowed [256]bool) {
	const symbols = "!#$%&'*+-.^_`|~"
	const digits = "0123456789"
	const letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
	for _, c := range []byte(symbols + digits + letters) {
		allowed[c] = true
	}
	return allowed
}
