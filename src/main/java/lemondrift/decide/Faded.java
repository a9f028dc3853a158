package lemondrift.decide;

/** A sum that fades away over a span of time. */
final class Faded {
    double span = 1;
    private double sum, at;

    double at(double now) {
        return sum == 0 ? 0 : sum * Math.exp((at - now) / span);
    }

    void add(double more, double now) {
        sum = at(now) + more;
        at = now;
    }
}
