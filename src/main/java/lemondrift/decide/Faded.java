package lemondrift.decide;

import java.util.stream.Stream;

/** A sum that fades away over a span of time. */
final class Faded {
    double span;
    private double sum, at;

    Faded(double span) {
        this.span = span;
    }

    static Faded[] many(int count, double span) {
        return Stream.generate(() -> new Faded(span)).limit(count).toArray(Faded[]::new);
    }

    double at(double now) {
        return sum == 0 ? 0 : sum * Math.exp((at - now) / span);
    }

    void add(double more, double now) {
        sum = at(now) + more;
        at = now;
    }
}
