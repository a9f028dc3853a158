/*
 * Loaded by lemondrift.proxy.lifecycle.HangUpSignal into a process that was started with SIGHUP
 * ignored. A JVM accepts no handler for SIGHUP while the signal is ignored. This library installs a
 * handler that does nothing, which the JVM can then replace with its own. No JNI is needed: loading
 * the library runs its constructor.
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
