package standin2;

import java.util.ArrayList;
import java.util.List;
import java.util.Locale;

/** The configuration of a proxy of a small deployment, with the figures of archiv-garching. */
public final class Settings {
    /** Class names and what they may do; see {@link #grade}. */
    public final List<String> grades = new ArrayList<>();

    /** limits.mostForwards. */
    public int mostForwards = 5;

    /** limits.connIdle. */
    public int connIdleMillis = 30_000;

    /** report.names, as JSON. */
    public String reportNames = "\"inflight\",\"queue\",\"util\"";

    /** limits.probes. */
    public boolean probes = true;

    /** How many proxies the deployment has. */
    public int proxies = 1;

    /** Adds a class. */
    public Settings grade(
            String name, String effect, int contractMillis, int expiryMillis, int keyTtlMillis) {
        grades.add(
                String.format(
                        Locale.ROOT,
                        "{\"name\":\"%s\",\"benefit\":2.0,\"contractTime\":%d,\"expiry\":%d,"
                                + "\"effect\":\"%s\",\"group\":\"all\",\"keyTtl\":%d,"
                                + "\"lateBenefit\":0.0,\"stream\":false}",
                        name,
                        contractMillis,
                        expiryMillis,
                        effect,
                        keyTtlMillis));
        return this;
    }

    /** The whole configuration as JSON. */
    public String json(
            int number, int listenPort, int adminPort, int discoveryPort, String known) {
        return "{\"name\":\"n"
                + number
                + "\",\"listen\":\"127.0.0.1:"
                + listenPort
                + "\",\"admin_addr\":\"127.0.0.1:"
                + adminPort
                + "\",\"discovery\":\"127.0.0.1:"
                + discoveryPort
                + "\",\"seed\":\""
                + Long.toHexString(System.nanoTime())
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},"
                + "\"known\":"
                + known
                + ",\"settings\":{\"siblings\":"
                + proxies
                + ",\"slotNo\":"
                + number
                + ",\"zone\":0,"
                + "\"localities\":[\"muc-nord\"],\"kinds\":[\"std-a\"],"
                + "\"membershipMode\":\"pushed\",\"weights\":\"off\",\"excessBenefit\":0.1,"
                + "\"clients\":{\"marksRetry\":true},"
                + "\"limits\":{\"mayCancel\":true,\"mayDuplicate\":true,\"probes\":"
                + probes
                + ",\"mayTell\":false,\"mostForwards\":"
                + mostForwards
                + ",\"retryAfter\":true,\"maxRetryAfter\":2000,\"connIdle\":"
                + connIdleMillis
                + ",\"connectTimeout\":250,\"maxOpen\":20000,\"streamsPerConn\":1},"
                + "\"invariants\":{\"answerSlack\":5,\"drainGrace\":2000,\"coldFrom\":0.31,"
                + "\"cold\":8200,\"fallMultiple\":3,\"overloadFor\":2000,\"askWithin\":10000},"
                + "\"report\":{\"how\":\"inline\",\"names\":["
                + reportNames
                + "]},"
                + "\"charges\":{\"crossZone\":0.005,\"probe\":0.002},"
                + "\"serviceGrades\":["
                + String.join(",", grades)
                + "]}}";
    }
}
