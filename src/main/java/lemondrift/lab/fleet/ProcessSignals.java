package lemondrift.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/** Sends signals to processes, known by their id. */
final class ProcessSignals {
    /** Sends the process that is named first all signals that are named after it. */
    private static final String SEND_SIGNALS_SCRIPT =
            "process=$1; shift; for signal; do kill -$signal $process; done";

    private ProcessSignals() {}

    /**
     * Sends signals such as "HUP" within milliseconds and in this order, and returns once they are
     * sent; what has ended meanwhile gets none.
     *
     * @throws IOException where they can't be sent
     */
    static void send(Process process, List<String> signals)
            throws IOException, InterruptedException {
        if (signals.equals(List.of("TERM"))) {
            // At once, as the time until the kill counts from it.
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
