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

/**
 * Reads {@link Settings} from path=value pairs, the form that the proxy and the simulator provide,
 * and maps the operators' keys to the terms of the code. Durations are given in milliseconds.
 * Unknown keys are ignored. A value that cannot be used causes an {@link InvalidSettingsException}
 * that names the key.
 */
public final class SettingsReader {
    /** The least value of a number that must be above 0. */
    private static final double MIN_POSITIVE = 1e-9;

    /** The largest value of a number that must be bounded. */
    private static final double MAX_BOUNDED = 1e9;

    /**
     * The time within which a polled endpoint list is polled again if the settings do not give one.
     */
    private static final double DEFAULT_POLL_WITHIN_MILLIS = 10_000;

    private static final double MILLIS_PER_SECOND = 1000;

    private final Map<String, String> pairs;

    /** Creates a reader of pairs of path and value. */
    public SettingsReader(Map<String, String> pairs) {
        this.pairs = pairs;
    }

    /**
     * Reads settings from a text with one path=value pair per line.
     *
     * @throws InvalidSettingsException if a value is missing or cannot be used
     */
    public static Settings read(String text) {
        Map<String, String> pairs = new HashMap<>();
        for (String line : text.split("\n")) {
            int equals = line.indexOf('=');
            if (equals > 0) {
                pairs.put(line.substring(0, equals).strip(), line.substring(equals + 1).strip());
            }
        }
        return new SettingsReader(pairs).toSettings();
    }

    /**
     * Returns the settings of the balancer.
     *
     * @throws InvalidSettingsException if a value is missing or cannot be used
     */
    public Settings toSettings() {
        List<RequestClass> requestClasses = requestClasses();
        double[] tenantQuotaPerSecond = tenantQuotaPerSecond();
        boolean pollsEndpointList =
                choice("membershipMode", "pushed", "on_request").equals("on_request");
        int locationCount = list("localities").size();
        return new Settings(
                (int) numberInRange("siblings", 1, Integer.MAX_VALUE),
                locationCount,
                (int) numberInRange("zone", 0, locationCount - 1),
                pollsEndpointList,
                requestClasses,
                tenantQuotaPerSecond,
                number("excessBenefit", 1),
                flag("clients.marksRetry"),
                loadReports(),
                limits(),
                rules(),
                new Settings.Costs(number("charges.crossZone", 0), number("charges.probe", 0)),
                usesEndpointWeights());
    }

    private List<RequestClass> requestClasses() {
        List<RequestClass> requestClasses = new ArrayList<>();
        for (int position = 0; position < (int) number("serviceGrades.count"); position++) {
            requestClasses.add(requestClass("serviceGrades." + position + "."));
        }
        if (requestClasses.isEmpty()) {
            throw new InvalidSettingsException(
                    "setting serviceGrades.count: there must be at least one service grade");
        }
        return List.copyOf(requestClasses);
    }

    private RequestClass requestClass(String prefix) {
        return new RequestClass(
                number(prefix + "benefit"),
                number(prefix + "lateBenefit", 0),
                numberInRange(prefix + "contractTime", MIN_POSITIVE, MAX_BOUNDED)
                        / MILLIS_PER_SECOND,
                numberInRange(prefix + "expiry", MIN_POSITIVE, MAX_BOUNDED) / MILLIS_PER_SECOND,
                idempotency(prefix + "effect"),
                deduplicationScope(prefix + "group"),
                number(prefix + "keyTtl", 0) / MILLIS_PER_SECOND);
    }

    private Idempotency idempotency(String key) {
        return switch (text(key, null)) {
            case "retryable" -> Idempotency.IDEMPOTENT;
            case "dedup" -> Idempotency.IDEMPOTENT_WITH_KEY;
            case "fragile" -> Idempotency.NOT_IDEMPOTENT;
            default -> throw new InvalidSettingsException("setting " + key + ": " + text(key, ""));
        };
    }

    private DeduplicationScope deduplicationScope(String key) {
        return switch (choice(key, "cell", "zone", "all")) {
            case "all" -> DeduplicationScope.ALL;
            case "zone" -> DeduplicationScope.LOCATION;
            default -> DeduplicationScope.CELL;
        };
    }

    private double[] tenantQuotaPerSecond() {
        double[] quotas = new double[(int) number("realms.count", 0)];
        for (int tenant = 0; tenant < quotas.length; tenant++) {
            quotas[tenant] = number("realms." + tenant + ".quotaPerS");
        }
        return quotas;
    }

    private Settings.LoadReports loadReports() {
        List<String> fields = list("report.names");
        boolean countsAllInFlight = fields.contains("inflight");
        boolean inResponses = choice("report.how", "off", "inline", "on_probe").equals("inline");
        return new Settings.LoadReports(
                inResponses,
                fields.indexOf("util"),
                fields.indexOf(countsAllInFlight ? "inflight" : "queue"),
                countsAllInFlight,
                fields.indexOf("qps"));
    }

    private Settings.Limits limits() {
        return new Settings.Limits(
                flag("limits.mayCancel"),
                flag("limits.probes"),
                (int) numberInRange("limits.mostForwards", 1, MAX_BOUNDED),
                flag("limits.retryAfter")
                        ? number("limits.maxRetryAfter", 0) / MILLIS_PER_SECOND
                        : 0);
    }

    private Settings.Rules rules() {
        return new Settings.Rules(
                numberInRange("invariants.coldFrom", MIN_POSITIVE, 1),
                number("invariants.cold") / MILLIS_PER_SECOND,
                numberInRange("invariants.fallMultiple", MIN_POSITIVE, MAX_BOUNDED),
                numberInRange("invariants.overloadFor", MIN_POSITIVE, MAX_BOUNDED)
                        / MILLIS_PER_SECOND,
                number("invariants.askWithin", DEFAULT_POLL_WITHIN_MILLIS) / MILLIS_PER_SECOND);
    }

    /**
     * Returns whether the weights in the endpoint list are used. Guards against live weights, which
     * change with the load that they are meant to predict.
     */
    private boolean usesEndpointWeights() {
        String weights = choice("weights", "off", "none", "nominal", "rough", "live");
        return weights.equals("nominal") || weights.equals("rough");
    }

    /**
     * Returns the value of a key, which must be one of the given words; the first word if there is
     * no value.
     */
    private String choice(String key, String... words) {
        String value = text(key, words[0]);
        if (!Arrays.asList(words).contains(value)) {
            throw new InvalidSettingsException(
                    "setting " + key + ": " + value + " is none of " + String.join(", ", words));
        }
        return value;
    }

    /**
     * Returns the values of a list, which are separated by commas; one empty value if there is no
     * list.
     */
    public List<String> list(String key) {
        return Arrays.asList(text(key, "").split(","));
    }

    /**
     * Returns the value of a key, or the default if there is none.
     *
     * @param defaultValue null if the key is required
     * @throws InvalidSettingsException if there is neither a value nor a default
     */
    public String text(String key, String defaultValue) {
        String value = pairs.getOrDefault(key, defaultValue);
        if (value == null) {
            throw new InvalidSettingsException("setting " + key + ": missing");
        }
        return value;
    }

    private boolean flag(String key) {
        return choice(key, "false", "true").equals("true");
    }

    private double numberInRange(String key, double min, double max) {
        double number = number(key);
        if (number < min || number > max) {
            throw new InvalidSettingsException(
                    "setting " + key + ": out of range: " + text(key, null));
        }
        return number;
    }

    /**
     * Returns the number at a key, or the default if there is no value.
     *
     * @throws InvalidSettingsException if the value is not a finite number of at least 0
     */
    public double number(String key, double defaultValue) {
        return pairs.containsKey(key) ? number(key) : defaultValue;
    }

    /**
     * Returns the number at a key.
     *
     * @throws InvalidSettingsException if there is no value, or if it is not a finite number of at
     *     least 0
     */
    public double number(String key) {
        String value = text(key, null);
        double number;
        try {
            number = Double.parseDouble(value);
        } catch (NumberFormatException e) {
            throw new InvalidSettingsException("setting " + key + ": not a number: " + value);
        }
        // Guards against NaN and negative values, which make estimates useless.
        if (number >= 0 && number < Double.POSITIVE_INFINITY) {
            return number;
        }
        throw new InvalidSettingsException("setting " + key + ": out of range: " + value);
    }
}
