package lemondrift.lab.simulation;

import java.util.Arrays;
import java.util.Comparator;
import java.util.List;
import java.util.stream.IntStream;
import lemondrift.model.RequestClass;

/**
 * What backends could have served, second by second, by one who knows what they bear and gives what they do
 * to the exchanges of most benefit. Nothing waits for it and nothing is carried over, so that a day may come
 * to a little more: by what was asked again later.
 */
public final class ServableOracle {
    private final List<RequestClass> grades;
    private final int[] byBenefit;
    /** Exchanges wanted, by second and grade, and borne, by second. */
    private final double[][] wanted;
    private final double[] borne;

    /** For so many seconds. */
    public ServableOracle(List<RequestClass> grades, int seconds) {
        this.grades = grades;
        byBenefit = IntStream.range(0, grades.size()).boxed().sorted(Comparator
                .comparing((Integer g) -> -grades.get(g).benefit())).mapToInt(g -> g).toArray();
        wanted = new double[seconds][grades.size()];
        borne = new double[seconds];
    }

    /** One of a grade is wanted in a second. */
    public void wants(int second, int grade) {
        wanted[second][grade]++;
    }

    /** Backends do the work of so many more exchanges in a second. */
    public void bears(int second, double exchanges) {
        borne[second] += exchanges;
    }

    /** The benefit that could have been served of what was wanted in each second. */
    public double[] benefit() {
        double[] benefit = new double[borne.length];
        Arrays.setAll(benefit, this::benefit);
        return benefit;
    }

    private double benefit(int second) {
        double left = borne[second], benefit = 0;
        for (int grade : byBenefit) {
            double some = Math.min(left, wanted[second][grade]);
            benefit += some * grades.get(grade).benefit();
            left -= some;
        }
        return benefit;
    }
}
