// Package configuration reads the operator's document, checks it, merges patches into it, and compiles it into an immutable
// Snapshot that requests are matched against.
//
// # Invariants
//
//   - A Document and a Snapshot are never changed: a patch returns a new document.
//   - A Document keeps the operator's own items, including fields that this program does not know, and numbers as they were
//     written, so that it can be returned in full.
//   - A Snapshot exists only of a document that breaks no rule. All problems of a document are found at once, and listed by
//     Problems with the paths of their fields.
//
// The package does no I/O and starts no goroutine.
//
// # Files
//
//   - document.go: from bytes to a document and back
//   - patch.go: changes of named items
//   - compile.go, compileroutes.go: from a document to a snapshot, and the rules of the document
//   - node.go, numbers.go, problems.go: the values of a document, and what is wrong with them
//   - snapshot.go: the compiled configuration
//   - match.go: the route of a request, and the service of a route
package configuration
