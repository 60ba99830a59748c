package start

/*
#include <signal.h>

// Runs before the Go runtime starts, whose default action on SIGHUP ends the process until main handles the signal.
static void __attribute__((constructor)) ignore_hangup(void) { signal(SIGHUP, SIG_IGN); }
*/
import "C"
