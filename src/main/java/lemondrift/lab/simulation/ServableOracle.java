package lemondrift.lab.simulation;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * Computes for each second what backends could have served if their capacity had gone to the
 * requests with the highest priority weight. No request is carried over to the next second, so that
 * a run may serve slightly more by later retries.
 */
public final class ServableOracle {
    private final List<RequestClass> requestClasses;

    /** The indexes of the request classes, highest priority weight first. */
    private final int[] classesByWeight;

    /** The number of client requests, by second and request class. */
    private final double[][] requested;

    /** The number of requests that the backends could serve, by second. */
    private final double[] capacity;

    /** Creates an oracle for a run of the given number of seconds. */
    public ServableOracle(List<RequestClass> requestClasses, int seconds) {
        this.requestClasses = requestClasses;
        classesByWeight =
                IntStream.range(0, requestClasses.size())
                        .boxed()
                        .sorted(
                                Comparator.comparing(
                                        (Integer index) ->
                                                -requestClasses.get(index).priorityWeight()))
                        .mapToInt(index -> index)
                        .toArray();
        requested = new double[seconds][requestClasses.size()];
        capacity = new double[seconds];
    }

    /** Records a client request of a request class in a second. */
    public void recordRequest(int second, int requestClass) {
        requested[second][requestClass]++;
    }

    /** Adds to the number of requests that the backends can serve in a second. */
    public void addCapacity(int second, double requests) {
        capacity[second] += requests;
    }

    /** Returns the requested priority weight that could have been served, by second. */
    public double[] servableWeightBySecond() {
        double[] servableWeight = new double[capacity.length];
        Arrays.setAll(servableWeight, this::servableWeight);
        return servableWeight;
    }

    private double servableWeight(int second) {
        double capacityLeft = capacity[second];
        double weight = 0;
        for (int classIndex : classesByWeight) {
            double served = Math.min(capacityLeft, requested[second][classIndex]);
            weight += served * requestClasses.get(classIndex).priorityWeight();
            capacityLeft -= served;
        }
        return weight;
    }
}
