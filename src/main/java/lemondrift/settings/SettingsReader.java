package lemondrift.settings;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.DeduplicationScope;
import lemondrift.model.Idempotency;
import lemondrift.model.RequestClass;
import lemondrift.model.Settings;

/** Turns path=value pairs, as both doors have them, into Settings; unknown keys are passed over. */
public final class SettingsReader {
    private static final double LEAST = 1e-9;
    private static final double MOST = 1e9;

    private final Map<String, String> pairs;

    public SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /** Reads one pair a line. */
    public static Settings read(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int at = line.indexOf('=');
            if (at > 0) {
                pairs.put(line.substring(0, at).strip(), line.substring(at + 1).strip());
            }
        }
        return new SettingsReader(pairs).settings();
    }

    public Settings settings() {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int i = 0; i < (int) number("serviceGrades.count"); i++) {
            requestClasses.add(grade("serviceGrades." + i + "."));
        }
        if (requestClasses.isEmpty()) {
            throw new InvalidSettingsException("setting serviceGrades.count: no service grade");
        }
        double[] quota = new double[(int) number("realms.count", 0)];
        for (int i = 0; i < quota.length; i++) {
            quota[i] = number("realms." + i + ".quotaPerS");
        }
        boolean onRequest = choice("membershipMode", "pushed", "on_request").equals("on_request");
        int locations = list("localities").size();
        return new Settings(
                (int) between("siblings", 1, Integer.MAX_VALUE),
                locations,
                (int) between("zone", 0, locations - 1),
                onRequest,
                List.copyOf(requestClasses),
                quota,
                number("excessBenefit", 1),
                flag("clients.marksRetry"),
                reports(),
                new Settings.Limits(
                        flag("limits.mayCancel"),
                        flag("limits.probes"),
                        (int) between("limits.mostForwards", 1, MOST),
                        flag("limits.retryAfter") ? number("limits.maxRetryAfter", 0) / 1000 : 0),
                new Settings.Rules(
                        between("invariants.coldFrom", LEAST, 1),
                        number("invariants.cold") / 1000,
                        between("invariants.fallMultiple", LEAST, MOST),
                        between("invariants.overloadFor", LEAST, MOST) / 1000,
                        number("invariants.askWithin", 10_000) / 1000),
                new Settings.Costs(number("charges.crossZone", 0), number("charges.probe", 0)),
                sizes(choice("weights", "off", "none", "nominal", "rough", "live")));
    }

    /** Danger: live sizes move with the load that they are to predict, so they are no sizes. */
    private static boolean sizes(String weights) {
        return weights.equals("nominal") || weights.equals("rough");
    }

    /** One of some words, the first of them where there is none. */
    private String choice(String key, String... words) {
        String value = text(key, words[0]);
        if (!Arrays.asList(words).contains(value)) {
            throw new InvalidSettingsException(
                    "setting " + key + ": " + value + " is none of " + String.join(", ", words));
        }
        return value;
    }

    private Settings.LoadReports reports() {
        List<String> names = list("report.names");
        boolean all = names.contains("inflight");
        boolean inline = choice("report.how", "off", "inline", "on_probe").equals("inline");
        return new Settings.LoadReports(
                inline,
                names.indexOf("util"),
                names.indexOf(all ? "inflight" : "queue"),
                all,
                names.indexOf("qps"));
    }

    /** The values of a list, which are joined by commas. */
    public List<String> list(String key) {
        return Arrays.asList(text(key, "").split(","));
    }

    private RequestClass grade(String at) {
        return new RequestClass(
                number(at + "benefit"),
                number(at + "lateBenefit", 0),
                between(at + "contractTime", LEAST, MOST) / 1000,
                between(at + "expiry", LEAST, MOST) / 1000,
                switch (text(at + "effect", null)) {
                    case "retryable" -> Idempotency.IDEMPOTENT;
                    case "dedup" -> Idempotency.IDEMPOTENT_WITH_KEY;
                    case "fragile" -> Idempotency.NOT_IDEMPOTENT;
                    default ->
                            throw new InvalidSettingsException(
                                    "setting " + at + "effect: " + text(at + "effect", ""));
                },
                switch (choice(at + "group", "cell", "zone", "all")) {
                    case "all" -> DeduplicationScope.ALL;
                    case "zone" -> DeduplicationScope.LOCATION;
                    default -> DeduplicationScope.CELL;
                },
                number(at + "keyTtl", 0) / 1000);
    }

    public String text(String key, String otherwise) {
        String value = pairs.getOrDefault(key, otherwise);
        if (value == null) {
            throw new InvalidSettingsException("setting " + key + ": missing");
        }
        return value;
    }

    private boolean flag(String key) {
        return choice(key, "false", "true").equals("true");
    }

    private double between(String key, double least, double most) {
        double number = number(key);
        if (number < least || number > most) {
            throw new InvalidSettingsException(
                    "setting " + key + ": out of range: " + text(key, null));
        }
        return number;
    }

    public double number(String key, double otherwise) {
        return pairs.containsKey(key) ? number(key) : otherwise;
    }

    public double number(String key) {
        String value = text(key, null);
        try {
            double number = Double.parseDouble(value);
            // Danger: what is not finite or below zero makes estimates none, and the first backend
            // the best.
            if (number >= 0 && number < Double.POSITIVE_INFINITY) {
                return number;
            }
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("setting " + key + ": not a number: " + value);
        }
        throw new InvalidSettingsException("setting " + key + ": out of range: " + value);
    }
}
