// Package configuration reads the operator's document, checks it, merges patches into it, and compiles it into an immutable
// Snapshot that requests are matched against.
//
// # Invariants
//
//   - A Document and a Snapshot are never changed: a patch returns a new document.
//   - A Document keeps all that the operator sent, including fields that this program does not know, and numbers as they were
//     written, so that it can be returned in full.
//   - A Snapshot is made only of a valid document. Compile checks the whole document before it returns an error; Problems
//     returns the problems with the paths of their fields, at most maxProblems of them and the number of the others.
//
// The package does no I/O and starts no goroutine.
//
// # Files
//
//   - document.go: parsing and encoding a document
//   - patch.go: changes of named items
//   - compile.go, compileroutes.go: validating a document and compiling it into a snapshot
//   - node.go, numbers.go, problems.go: reading the values of a document, and collecting their problems
//   - snapshot.go: the compiled configuration
//   - match.go: finding the route of a request, and choosing a service of the route
package configuration
