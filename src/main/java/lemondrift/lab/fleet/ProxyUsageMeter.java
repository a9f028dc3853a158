package lemondrift.lab.fleet;

import lemondrift.lab.simulation.RunResult;

/**
 * Measures the CPU time, memory and gossip traffic of the proxies during a run. Process thread
 * only.
 */
final class ProxyUsageMeter {
    private final ProxyProcesses processes;
    private final DatagramRelay datagramRelay;

    /** Indexed by proxy number; the value at the start of the run. */
    private final double[] cpuSecondsAtStart;

    /** Indexed by proxy number; the value at the start of the run. */
    private final long[] datagramsAtStart;

    /** Indexed by proxy number; the value at the start of the run. */
    private final long[] bytesAtStart;

    ProxyUsageMeter(int proxyCount, ProxyProcesses processes, DatagramRelay datagramRelay) {
        this.processes = processes;
        this.datagramRelay = datagramRelay;
        cpuSecondsAtStart = new double[proxyCount];
        datagramsAtStart = new long[proxyCount];
        bytesAtStart = new long[proxyCount];
    }

    /** Starts the measurement of a run. */
    void start() {
        for (int proxy = 0; proxy < cpuSecondsAtStart.length; proxy++) {
            cpuSecondsAtStart[proxy] = processes.cpuSeconds(proxy);
            datagramsAtStart[proxy] = datagramRelay.sentDatagrams(proxy);
            bytesAtStart[proxy] = datagramRelay.sentBytes(proxy);
        }
    }

    /** Adds the usage since the start of the run to its results. */
    void addTo(RunResult result, double durationSeconds) {
        int proxyCount = cpuSecondsAtStart.length;
        for (int proxy = 0; proxy < proxyCount; proxy++) {
            result.cpuShare += usedCpuSeconds(proxy) / durationSeconds / proxyCount;
            result.memoryMegabytes =
                    Math.max(result.memoryMegabytes, processes.memoryMegabytes(proxy));
            result.gossipMessages += datagramRelay.sentDatagrams(proxy) - datagramsAtStart[proxy];
            result.gossipBytes += datagramRelay.sentBytes(proxy) - bytesAtStart[proxy];
        }
    }

    /**
     * Returns the CPU time in seconds used since the start of the run. A process that was started
     * since then counts with all its CPU time.
     */
    private double usedCpuSeconds(int proxy) {
        double now = processes.cpuSeconds(proxy);
        return now < cpuSecondsAtStart[proxy] ? now : now - cpuSecondsAtStart[proxy];
    }
}
