package review;

/** A proxy's configuration, with the settings of a small deployment. */
final class Config {
    int port;
    int adminPort;
    String discovery = "";
    String known = "{\"revision\":0,\"complete\":true,\"members\":[]}";
    String seed = "8c1f30d27a5be964";
    int connectTimeout = 250;
    int connIdle = 30_000;
    int mostForwards = 5;
    String locality = "muc-nord";
    String listMode = "pushed";
    boolean marksRetry = true;

    /** The rules on drains and cold backends, and the form of load reports and costs, as JSON. */
    String rules =
            "\"invariants\":{\"coldFrom\":0.31,\"cold\":8200,\"fallMultiple\":3,"
                    + "\"overloadFor\":2000,\"drainGrace\":2000},"
                    + "\"report\":{\"how\":\"inline\",\"names\":[\"inflight\",\"queue\",\"util\"]},"
                    + "\"charges\":{\"crossZone\":0.005,\"probe\":0.002}";

    private final StringBuilder grades = new StringBuilder();

    /**
     * Adds a class of requests.
     *
     * @param more further keys, each with a comma ahead
     */
    Config grade(String name, int benefit, int contract, int expiry, String effect, String more) {
        grades.append(grades.length() == 0 ? "" : ",")
                .append(
                        String.format(
                                "{\"name\":\"%s\",\"benefit\":%d,\"contractTime\":%d,"
                                        + "\"expiry\":%d,\"effect\":\"%s\"%s}",
                                name, benefit, contract, expiry, effect, more));
        return this;
    }

    /** The settings of archiv-garching, at one proxy and one data centre. */
    static Config archivGarching() {
        return new Config()
                .grade("cutout", 1, 350, 880, "retryable", "")
                .grade("bulk-order", 2, 350, 880, "fragile", "")
                .grade("time-booking", 10, 350, 880, "fragile", "");
    }

    /** The settings of kigali-dispatch, at one proxy and one data centre. */
    static Config kigaliDispatch() {
        Config config =
                new Config()
                        .grade("driver-position", 2, 250, 1000, "retryable", ",\"lateBenefit\":0.2")
                        .grade("ride-accept", 3, 150, 750, "fragile", ",\"lateBenefit\":0.5")
                        .grade("trip-close", 10, 500, 1000, "fragile", ",\"lateBenefit\":0.3")
                        .grade("driver-payout", 10, 500, 2000, "fragile", ",\"lateBenefit\":0.25");
        config.connectTimeout = 75;
        config.connIdle = 60_000;
        config.mostForwards = 3;
        config.locality = "nyarugenge";
        config.rules =
                "\"invariants\":{\"coldFrom\":0.34,\"cold\":8700,\"fallMultiple\":3,"
                        + "\"overloadFor\":1000,\"drainGrace\":500},"
                        + "\"report\":{\"how\":\"off\",\"names\":[]},"
                        + "\"charges\":{\"crossZone\":0.03,\"probe\":0.0091}";
        return config;
    }

    /** The settings of booking-prague, at one proxy and one data centre. */
    static Config bookingPrague() {
        Config config =
                new Config()
                        .grade("availability", 1, 1000, 2500, "retryable", ",\"lateBenefit\":0.25")
                        .grade("payment-capture", 10, 1000, 5000, "fragile", ",\"lateBenefit\":0.5")
                        .grade(
                                "seat-hold",
                                8,
                                800,
                                3000,
                                "dedup",
                                ",\"group\":\"zone\",\"keyTtl\":3000,\"lateBenefit\":0.25");
        config.connIdle = 10_000;
        config.locality = "dc-karlin";
        config.listMode = "on_request";
        config.marksRetry = false;
        config.rules =
                "\"invariants\":{\"coldFrom\":0.17,\"cold\":24000,\"fallMultiple\":3,"
                        + "\"overloadFor\":1000,\"drainGrace\":250},"
                        + "\"report\":{\"how\":\"inline\",\"names\":[\"qps\",\"util\",\"inflight\"]},"
                        + "\"charges\":{\"crossZone\":0.019,\"probe\":0.01}";
        return config;
    }

    /** The settings of spektren-chiemgau, at one proxy and one data centre. */
    static Config spektrenChiemgau() {
        Config config =
                new Config()
                        .grade("spektrum-auszug", 1, 750, 2000, "retryable", "")
                        .grade("katalog-abfrage", 1, 800, 1500, "retryable", "")
                        .grade("download-auftrag", 3, 1000, 2500, "fragile", "")
                        .grade(
                                "zugang-buchung",
                                10,
                                1000,
                                2500,
                                "dedup",
                                ",\"group\":\"zone\",\"keyTtl\":1500");
        config.mostForwards = 3;
        config.connIdle = 15_000;
        config.locality = "raum-traunstein";
        config.listMode = "on_request";
        config.rules =
                "\"invariants\":{\"coldFrom\":0.12,\"cold\":23000,\"fallMultiple\":4,"
                        + "\"overloadFor\":2000,\"drainGrace\":500},"
                        + "\"report\":{\"how\":\"on_probe\",\"names\":[\"util\"]},"
                        + "\"charges\":{\"crossZone\":0.22,\"probe\":0.007}";
        return config;
    }

    String json() {
        return "{\"name\":\"n0\",\"listen\":\"127.0.0.1:"
                + port
                + "\",\"discovery\":\""
                + discovery
                + "\""
                + (adminPort > 0 ? ",\"admin_addr\":\"127.0.0.1:" + adminPort + "\"" : "")
                + ",\"seed\":\""
                + seed
                + "\",\"limits\":{\"cores\":1.0,\"memory_mb\":192,\"sockets\":1024},\"known\":"
                + known
                + ",\"settings\":{\"siblings\":1,\"zone\":0,\"localities\":[\""
                + locality
                + "\"],\"membershipMode\":\""
                + listMode
                + "\",\"clients\":{\"marksRetry\":"
                + marksRetry
                + "},"
                + "\"limits\":{\"mayCancel\":true,\"probes\":true,\"mostForwards\":"
                + mostForwards
                + ",\"retryAfter\":true,\"maxRetryAfter\":1000,\"connIdle\":"
                + connIdle
                + ",\"connectTimeout\":"
                + connectTimeout
                + "},"
                + rules
                + ",\"serviceGrades\":["
                + grades
                + "]}}";
    }
}
