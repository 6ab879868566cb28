// Package earlyhangup has the process ignore SIGHUP until the program catches it. A program imports it for its effect.
//
// The packages of a program are initialized before main can call signal.Notify. A SIGHUP that arrives by then would end the
// process, though it only asks the process to read its settings, which it has not read yet. The C library calls this package's
// constructor before the Go runtime starts. The runtime leaves a SIGHUP that is ignored then as it is until signal.Notify catches
// it.
//
// The few hundred microseconds between the start of the process and the constructor, in which the system loads the program, remain.
package earlyhangup

/*
#include <signal.h>

__attribute__((constructor)) static void ignore_hangup(void) {
	signal(SIGHUP, SIG_IGN);
}
*/
import "C"
