/*
 * Loaded by lemondrift.proxy.lifecycle.HangUpSignal into a process that was started with SIGHUP
 * ignored. A JVM takes no handler for a SIGHUP that it finds ignored; this gives the signal one that
 * does nothing, in whose place the JVM can put its own. Needs no JNI: loading it is all.
 */
#include <signal.h>
#include <stddef.h>

static void do_nothing(int signal_number) {
    (void) signal_number;
}

__attribute__((constructor)) static void stop_ignoring_hang_up(void) {
    struct sigaction action;
    if (sigaction(SIGHUP, NULL, &action) == 0 && action.sa_handler == SIG_IGN) {
        action.sa_handler = do_nothing;
        action.sa_flags = SA_RESTART;
        sigemptyset(&action.sa_mask);
        sigaction(SIGHUP, &action, NULL);
    }
}
