package lemondrift.proxy.backend;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.http.ProxyHeaders;

/** Parses a backend's load report, which is a response's header field or a probe's body. */
final class LoadReportParser {
    /** The prefix before the name-value pairs of a report. */
    private static final String FORMAT_PREFIX = "TEXT ";

    /** Values of a report must be below this limit; otherwise the report is ignored. */
    private static final double VALUE_LIMIT = 1e9;

    private LoadReportParser() {}

    /** Returns the report in a response's header; null if it is missing, repeated or malformed. */
    static double[] parseHeader(BackendResponse response, List<String> fields) {
        // Guards against two reports, as it is not known which of them is valid.
        return response.headers().count(ProxyHeaders.LOAD_REPORT) != 1
                ? null
                : parse(response.headers().getFirst(ProxyHeaders.LOAD_REPORT), fields);
    }

    /**
     * Parses {@code TEXT name=value, name=value}, where the prefix is optional.
     *
     * @param fields the names of the fields to read; other fields are ignored
     * @return the values in the order of the fields; null if one of them is missing, is not a
     *     number, or is outside the range from 0 to {@link #VALUE_LIMIT} (exclusive)
     */
    static double[] parse(String text, List<String> fields) {
        Map<String, String> valuesByName = new HashMap<>();
        String report = text.strip();
        String pairs =
                report.substring(report.startsWith(FORMAT_PREFIX) ? FORMAT_PREFIX.length() : 0);
        for (String pair : pairs.split(",")) {
            int equalsIndex = pair.indexOf('=');
            valuesByName.put(
                    pair.substring(0, Math.max(0, equalsIndex)).strip(),
                    pair.substring(equalsIndex + 1).strip());
        }
        try {
            double[] values =
                    fields.stream()
                            .mapToDouble(field -> Double.parseDouble(valuesByName.get(field)))
                            .toArray();
            // Guards against NaN and negative values, which would make a backend the least loaded
            // one permanently.
            return Arrays.stream(values).allMatch(value -> value >= 0 && value < VALUE_LIMIT)
                    ? values
                    : null;
        } catch (NumberFormatException | NullPointerException e) {
            // A field is missing or is not a number.
            return null;
        }
    }
}
