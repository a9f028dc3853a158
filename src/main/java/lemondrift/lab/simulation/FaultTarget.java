package lemondrift.lab.simulation;

import java.util.function.IntUnaryOperator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.IntStream;
import org.apache.commons.rng.UniformRandomProvider;

/**
 * The proxies or backends that a fault affects.
 *
 * @param kind how the targets are selected
 * @param value the location, the index, or the share from 0 to 1; 1 for all
 */
public record FaultTarget(Kind kind, double value) {
    /** How the targets are selected. */
    public enum Kind {
        /** All proxies or backends. */
        ALL,
        /** All in one location. */
        LOCATION,
        /** A single one, by its index. */
        NUMBER,
        /** A share of all, drawn at random. */
        SHARE
    }

    /** Examples of all valid forms in an experiment's file, for messages. */
    public static final String FORMS = "\"all\", \"location 1\", \"number 3\", \"30%\"";

    /** All proxies or backends. */
    public static final FaultTarget ALL = new FaultTarget(Kind.ALL, 1);

    private static final Pattern FORM =
            Pattern.compile("(location|number) (\\d{1,4})|(\\d+(?:\\.\\d+)?)%");

    /**
     * Parses one of the {@link #FORMS}; returns null if the text has another form or its percentage
     * is above 100.
     */
    public static FaultTarget parse(String text) {
        if (text.equals("all")) {
            return ALL;
        }
        Matcher form = FORM.matcher(text);
        if (!form.matches()) {
            return null;
        }
        String percent = form.group(3);
        if (percent != null) {
            double share = Double.parseDouble(percent) / 100;
            return share <= 1 ? new FaultTarget(Kind.SHARE, share) : null;
        }
        Kind kind = form.group(1).equals("location") ? Kind.LOCATION : Kind.NUMBER;
        return new FaultTarget(kind, Integer.parseInt(form.group(2)));
    }

    /**
     * Selects the targets among a number of proxies or backends; returns for each index whether it
     * is a target.
     *
     * @param location returns the location of each index
     * @param random the source for drawing a share; at least one index is drawn
     */
    public boolean[] selectTargets(
            int count, IntUnaryOperator location, UniformRandomProvider random) {
        boolean[] targets = new boolean[count];
        switch (kind) {
            case ALL -> IntStream.range(0, count).forEach(i -> targets[i] = true);
            case LOCATION ->
                    IntStream.range(0, count)
                            .forEach(i -> targets[i] = location.applyAsInt(i) == (int) value);
            case NUMBER -> IntStream.range(0, count).forEach(i -> targets[i] = i == (int) value);
            case SHARE -> drawShare(targets, random);
        }
        return targets;
    }

    private void drawShare(boolean[] targets, UniformRandomProvider random) {
        int count = targets.length;
        int[] order = IntStream.range(0, count).toArray();
        long drawnCount = Math.min(count, Math.max(1, Math.round(value * count)));
        for (int k = 0; k < drawnCount; k++) {
            int j = k + random.nextInt(count - k);
            int drawn = order[j];
            order[j] = order[k];
            order[k] = drawn;
            targets[drawn] = true;
        }
    }
}
