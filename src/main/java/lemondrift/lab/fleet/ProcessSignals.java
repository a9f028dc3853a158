package lemondrift.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Sends signals to processes by process id. */
final class ProcessSignals {
    /**
     * Sends the process whose id is the first argument all signals named by the other arguments.
     */
    private static final String SEND_SIGNALS_SCRIPT =
            "process=$1; shift; for signal; do kill -$signal $process; done";

    private ProcessSignals() {}

    /**
     * Sends signals such as "HUP" within milliseconds and in the given order, and returns when they
     * are sent. Does nothing if the process has ended.
     *
     * @throws IOException if the command that sends them cannot be started
     */
    static void send(Process process, List<String> signals)
            throws IOException, InterruptedException {
        if (signals.equals(List.of("TERM"))) {
            // Sent immediately, because the time until the kill counts from this signal.
            process.destroy();
            return;
        }
        List<String> command = new ArrayList<>(List.of("/bin/sh", "-c", SEND_SIGNALS_SCRIPT, "sh"));
        command.add(String.valueOf(process.pid()));
        command.addAll(signals);
        new ProcessBuilder(command)
                .redirectError(ProcessBuilder.Redirect.DISCARD)
                .start()
                .waitFor();
    }
}
