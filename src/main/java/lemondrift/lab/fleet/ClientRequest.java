package lemondrift.lab.fleet;

import lemondrift.lab.simulation.RunResult;
import lemondrift.model.RequestClass;

/**
 * One request of a client. The client tries it until it succeeds or until the client gives up. It
 * counts in the results of the run in which it was due. I/O thread only.
 */
final class ClientRequest {
    final int requestClassIndex;
    final RequestClass requestClass;
    final double dueAt;

    /** The second of the run in which it was due. */
    final int dueSecond;

    /** The work of the request, in seconds of one warm core. */
    final double workSeconds;

    /** The results of the run in which it was due. */
    final RunResult result;

    /**
     * How often it was sent. A first send by {@link ClientFleet#sendOnIdleConnections} is not
     * counted.
     */
    int sendCount;

    ClientRequest(
            int requestClassIndex,
            RequestClass requestClass,
            double dueAt,
            int dueSecond,
            double workSeconds,
            RunResult result) {
        this.requestClassIndex = requestClassIndex;
        this.requestClass = requestClass;
        this.dueAt = dueAt;
        this.dueSecond = dueSecond;
        this.workSeconds = workSeconds;
        this.result = result;
    }

    /** Counts it as served, in time or late depending on its latency since it was due. */
    void recordSuccess(double latencySeconds) {
        boolean inTime = latencySeconds <= requestClass.latencyObjectiveSeconds();
        result.succeeded++;
        result.inTime += inTime ? 1 : 0;
        result.late += inTime ? 0 : 1;
        double weight = inTime ? requestClass.priorityWeight() : requestClass.latePriorityWeight();
        result.servedWeight += weight;
        result.servedWeightPerSecond[dueSecond] += weight;
    }

    /** Counts one rejection, in a second of the current run. */
    void recordRejection(int secondOfRun) {
        result.rejected++;
        result.rejectedPerSecond[secondOfRun]++;
    }
}
