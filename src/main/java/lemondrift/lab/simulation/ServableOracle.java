package lemondrift.lab.simulation;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * What backends could have served, second by second, by one who knows what they bear and gives what
 * they do to the requests of most priority weight. Nothing waits for it and nothing is carried
 * over, so that a day may come to a little more: by what was asked again later.
 */
public final class ServableOracle {
    private final List<RequestClass> requestClasses;
    private final int[] byBenefit;

    /** Requests wanted, by second and request class, and borne, by second. */
    private final double[][] wanted;

    private final double[] borne;

    /** For so many seconds. */
    public ServableOracle(List<RequestClass> requestClasses, int seconds) {
        this.requestClasses = requestClasses;
        byBenefit =
                IntStream.range(0, requestClasses.size())
                        .boxed()
                        .sorted(
                                Comparator.comparing(
                                        (Integer g) -> -requestClasses.get(g).priorityWeight()))
                        .mapToInt(g -> g)
                        .toArray();
        wanted = new double[seconds][requestClasses.size()];
        borne = new double[seconds];
    }

    /** One of a request class is wanted in a second. */
    public void wants(int second, int requestClass) {
        wanted[second][requestClass]++;
    }

    /** Backends do the work of so many more requests in a second. */
    public void bears(int second, double exchanges) {
        borne[second] += exchanges;
    }

    /** The priority weight that could have been served of what was wanted in each second. */
    public double[] benefit() {
        double[] benefit = new double[borne.length];
        Arrays.setAll(benefit, this::benefit);
        return benefit;
    }

    private double benefit(int second) {
        double left = borne[second];
        double benefit = 0;
        for (int requestClass : byBenefit) {
            double some = Math.min(left, wanted[second][requestClass]);
            benefit += some * requestClasses.get(requestClass).priorityWeight();
            left -= some;
        }
        return benefit;
    }
}
