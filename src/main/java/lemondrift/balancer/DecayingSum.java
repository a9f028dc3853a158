package lemondrift.balancer;

/** A sum that fades away over a span of time. */
final class DecayingSum {
    double span = 1;
    private double sum;
    private double at;

    double at(double now) {
        return sum == 0 ? 0 : sum * Math.exp((at - now) / span);
    }

    void add(double more, double now) {
        sum = at(now) + more;
        at = now;
    }
}
