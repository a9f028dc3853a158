package lemondrift.lab.simulation;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * What backends could have served, second by second, had their capacity gone to the requests of
 * most priority weight. No request waits for the next second, so that a run may serve a little more
 * by what was retried later.
 */
public final class ServableOracle {
    private final List<RequestClass> requestClasses;

    /** The indexes of the request classes, the one of most priority weight first. */
    private final int[] classesByWeight;

    /** How many requests clients made, by second and request class. */
    private final double[][] requested;

    /** How many requests the backends could serve, by second. */
    private final double[] capacity;

    /** Creates one that counts over so many seconds. */
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

    /** A client makes a request of a class in a second. */
    public void recordRequest(int second, int requestClass) {
        requested[second][requestClass]++;
    }

    /** The backends can serve so many more requests in a second. */
    public void addCapacity(int second, double requests) {
        capacity[second] += requests;
    }

    /** The priority weight that could have been served of what was requested, by second. */
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
