// Package responsehead checks the heads of HTTP/1.1 responses, before anything in them is believed. Parsers of responses let pass
// what the protocol does not allow, each in its own way: a blank in a field name, a status of 000, a length beside chunks. What
// such a head says, and where its body ends, is then a guess.
//
// # Invariants
//
//   - The last line of a head reaches the parser only if all lines of the head are well-formed by RFC 9112, sections 4 to 6. So
//     a parser that reads through a Reader never returns a malformed head, nor one that follows a malformed interim (1xx)
//     response.
//   - After a malformed head nothing more is read from the connection.
//
// Of what RFC 9112 leaves to the recipient, a head may have lines that end with a line feed alone (section 2.2) if all of them
// do, and more than one space in its status line (section 4). A folded line is malformed (section 5.2 lets a gateway discard the
// response): joined to the line before it, it would change that one's value.
//
// # Files
//
//   - checker.go: the check of a head, line by line
//   - framing.go: what a head says about where its body ends
//   - reader.go, conn.go: reading responses that are checked, and a connection that does
//   - malformed.go: what is wrong with a head
package responsehead
