package lemondrift.lab.fleet;

import lemondrift.lab.simulation.RunResult;

/** Measures what the proxies use in a day. Process thread only. */
final class ProxyUsageMeter {
    private final ProxyProcesses processes;
    private final DatagramRelay datagramRelay;

    /** By proxy, at the start of the day. */
    private final double[] cpuSecondsAtStart;

    /** By proxy, at the start of the day. */
    private final long[] datagramsAtStart;

    /** By proxy, at the start of the day. */
    private final long[] bytesAtStart;

    ProxyUsageMeter(int proxyCount, ProxyProcesses processes, DatagramRelay datagramRelay) {
        this.processes = processes;
        this.datagramRelay = datagramRelay;
        cpuSecondsAtStart = new double[proxyCount];
        datagramsAtStart = new long[proxyCount];
        bytesAtStart = new long[proxyCount];
    }

    /** Starts to measure a day. */
    void start() {
        for (int proxy = 0; proxy < cpuSecondsAtStart.length; proxy++) {
            cpuSecondsAtStart[proxy] = processes.cpuSeconds(proxy);
            datagramsAtStart[proxy] = datagramRelay.sentDatagrams(proxy);
            bytesAtStart[proxy] = datagramRelay.sentBytes(proxy);
        }
    }

    /** Adds what was used since the start to the figures of the day. */
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

    /** A process that was started since counts with all that it has used. */
    private double usedCpuSeconds(int proxy) {
        double now = processes.cpuSeconds(proxy);
        return now < cpuSecondsAtStart[proxy] ? now : now - cpuSecondsAtStart[proxy];
    }
}
