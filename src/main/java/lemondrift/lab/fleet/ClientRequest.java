package lemondrift.lab.fleet;

import lemondrift.lab.simulation.RunResult;
import lemondrift.model.RequestClass;

/**
 * What one client wants. It tries until it has it, or has tried often enough, and counts in the
 * figures of the day in which it was due. I/O thread only.
 */
final class ClientRequest {
    final int requestClassIndex;
    final RequestClass requestClass;
    final double dueAt;

    /** The second of the day in which it was due. */
    final int dueSecond;

    /** Seconds of one core that it takes. */
    final double workSeconds;

    /** The figures of the day in which it was due. */
    final RunResult result;

    /** How often it was sent; a first time on a kept connection is not counted. */
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

    /** Counts it as served, by how long after it was due. */
    void recordSuccess(double latencySeconds) {
        boolean inTime = latencySeconds <= requestClass.latencyObjectiveSeconds();
        result.succeeded++;
        result.inTime += inTime ? 1 : 0;
        result.late += inTime ? 0 : 1;
        double weight = inTime ? requestClass.priorityWeight() : requestClass.latePriorityWeight();
        result.servedWeight += weight;
        result.servedWeightPerSecond[dueSecond] += weight;
    }

    /** Counts that it was rejected once, in a second of the day that is played. */
    void recordRejection(int secondOfDay) {
        result.rejected++;
        result.rejectedPerSecond[secondOfDay]++;
    }
}
