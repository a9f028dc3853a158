package lemondrift.proxy.backend;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.proxy.events.BackendResponse;
import lemondrift.proxy.http.ProxyHeaders;

/** Reads a backend's load report, which comes in a response's header or as a probe's body. */
final class LoadReportParser {
    /** Stands before the pairs of a report. */
    private static final String FORMAT_PREFIX = "TEXT ";

    /** A value of a report is below this; what is not is no report. */
    private static final double VALUE_LIMIT = 1e9;

    private LoadReportParser() {}

    /** The report in a response's header; null where there is none or it cannot be read. */
    static double[] parseHeader(BackendResponse response, List<String> fields) {
        // Guards against two reports, of which it is not known which one is meant.
        return response.headers().count(ProxyHeaders.LOAD_REPORT) != 1
                ? null
                : parse(response.headers().getFirst(ProxyHeaders.LOAD_REPORT), fields);
    }

    /**
     * Reads {@code TEXT name=value, name=value} into the values of these fields, in their order;
     * null if one is missing or is no number from 0 up.
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
            // Guards against NaN and negative values, which make a backend the least loaded for
            // good.
            return Arrays.stream(values).allMatch(value -> value >= 0 && value < VALUE_LIMIT)
                    ? values
                    : null;
        } catch (NumberFormatException | NullPointerException e) {
            // A field is missing or no number.
            return null;
        }
    }
}
