package lemondrift.lab.fleet;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.function.Consumer;
import lemondrift.lab.Experiment;
import lemondrift.lab.simulation.BackendFault;
import lemondrift.lab.simulation.Fault;
import lemondrift.lab.simulation.FaultTarget;
import lemondrift.lab.simulation.RunResult;
import lemondrift.lab.simulation.Scenario;
import org.apache.commons.rng.UniformRandomProvider;
import org.apache.commons.rng.simple.RandomSource;

/**
 * Days of real processes on which all is drawn from a seed: the size of the fleet, deadlines,
 * troubles of backends and discovery, signals in series, lost datagrams, and on some a crowd of
 * clients that take up places. Clients use the connections that they have until a process that was
 * told to end is killed, as early as the protocol page allows.
 */
public final class SoakRun {
    /** Seconds of a day, and of it at its end in which nothing new begins. */
    private static final double LASTS = 14;

    private static final double CALM_END = 4;

    private static final int[] BACKENDS = {6, 24, 120, 400};
    private static final double[] CONTRACTS = {0.25, 0.4, 0.8, 1.2};

    /** Clients that loiter at each proxy on a day with a crowd, and the share of such days. */
    private static final int CROWD = 150;

    private static final double CROWDED = 0.4;

    /** One day as drawn; the clients is how many loiter at each proxy. */
    public record Plan(long seed, Experiment experiment, int crowd) {
        /** One line on what is drawn. */
        public String about() {
            StringBuilder text =
                    new StringBuilder(
                            String.format(
                                    Locale.ROOT,
                                    "%d proxies, %d backends, %.0f/s, contract %.2f s, crowd %d:",
                                    experiment.day().proxies(),
                                    experiment.day().backends(),
                                    experiment.day().rate(),
                                    experiment.day().settings().windowSeconds(),
                                    crowd));
            experiment
                    .day()
                    .troubles()
                    .forEach(
                            each ->
                                    text.append(
                                            String.format(
                                                    Locale.ROOT,
                                                    " %s@%.1f+%.1fx%.2f",
                                                    each.kind(),
                                                    each.at(),
                                                    each.lasts(),
                                                    each.share())));
            experiment
                    .faults()
                    .forEach(
                            each ->
                                    text.append(
                                            String.format(
                                                    Locale.ROOT,
                                                    " %s/%s@%.1f+%.1f",
                                                    each.kind(),
                                                    each.channel(),
                                                    each.at(),
                                                    each.lasts())));
            return text.toString();
        }
    }

    /** What one day came to; wrong is empty where all went well. */
    public record Verdict(Plan plan, RunResult figures, List<String> wrong) {}

    private final UniformRandomProvider random;

    private SoakRun(long seed) {
        random = RandomSource.XO_RO_SHI_RO_128_PP.create(seed);
    }

    /** The day of a seed. */
    public static Plan plan(long seed) {
        return new SoakRun(seed).drawn(seed);
    }

    private double between(double least, double most) {
        return least + (most - least) * random.nextDouble();
    }

    private double begin() {
        return between(0.5, LASTS - CALM_END);
    }

    private Plan drawn(long seed) {
        int proxies = 3 + random.nextInt(3);
        int backends = BACKENDS[random.nextInt(BACKENDS.length)];
        double contract = CONTRACTS[random.nextInt(CONTRACTS.length)];
        double rate = proxies * between(10, 50);
        double work = Math.min(between(0.02, 0.1), 0.4 * backends / rate);
        Scenario scenario =
                new Scenario(
                        Experiment.settings(proxies, 2, 0.08, contract),
                        proxies,
                        backends,
                        1,
                        rate,
                        work,
                        0.5,
                        3,
                        0,
                        0.1,
                        2,
                        LASTS,
                        seed,
                        troubles());
        Experiment experiment =
                new Experiment(
                        "soak-" + seed,
                        "",
                        scenario,
                        List.of(),
                        List.of(seed),
                        List.of(),
                        true,
                        true,
                        Experiment.Host.PROCESSES,
                        0,
                        0,
                        faults(proxies));
        return new Plan(seed, experiment, random.nextDouble() < CROWDED ? CROWD : 0);
    }

    private List<BackendFault> troubles() {
        List<BackendFault> troubles = new ArrayList<>();
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            troubles.add(
                    switch (random.nextInt(8)) {
                        case 0 ->
                                new BackendFault(
                                        BackendFault.Kind.DEPLOY,
                                        begin(),
                                        between(3, 6),
                                        between(0.3, 0.7),
                                        1);
                        case 1 ->
                                new BackendFault(
                                        BackendFault.Kind.CRASH,
                                        begin(),
                                        between(0.5, 4),
                                        between(0.1, 0.3),
                                        1);
                        case 2 ->
                                new BackendFault(
                                        BackendFault.Kind.VANISH,
                                        begin(),
                                        between(0.5, 4),
                                        between(0.1, 0.3),
                                        1);
                        case 3 ->
                                new BackendFault(
                                        BackendFault.Kind.STALL,
                                        begin(),
                                        between(0.5, 4),
                                        between(0.2, 0.6),
                                        1);
                        case 4 ->
                                new BackendFault(
                                        BackendFault.Kind.SLOW,
                                        begin(),
                                        between(2, 5),
                                        between(0.1, 0.3),
                                        5);
                        case 5 ->
                                new BackendFault(
                                        BackendFault.Kind.ERRORS,
                                        begin(),
                                        between(1, 4),
                                        between(0.1, 0.3),
                                        0.5);
                        case 6 ->
                                new BackendFault(
                                        BackendFault.Kind.BURST, begin(), between(0.5, 2), 1, 3);
                        default ->
                                new BackendFault(
                                        BackendFault.Kind.SILENCE, begin(), between(1, 5), 1, 1);
                    });
        }
        return troubles;
    }

    /** At least one process is told to end on each day. */
    private List<Fault> faults(int proxies) {
        List<Fault> faults = new ArrayList<>();
        faults.add(
                process(
                        Fault.Kind.TERMINATE,
                        "number " + random.nextInt(proxies),
                        between(0.5, 3)));
        for (int i = 1 + random.nextInt(3); i > 0; i--) {
            String one = "number " + random.nextInt(proxies);
            faults.add(
                    switch (random.nextInt(8)) {
                        case 0 -> process(Fault.Kind.TERMINATE, "50%", between(0.5, 3));
                        case 1 -> process(Fault.Kind.KILL, one, between(0.2, 2));
                        case 2 -> process(Fault.Kind.PAUSE, one, between(0.1, 1));
                        case 3, 4 -> process(Fault.Kind.HANG_UP, "all", between(0.01, 2));
                        case 5 ->
                                between(
                                        Fault.Channel.DISCOVERY,
                                        Fault.Kind.CUT,
                                        one,
                                        between(1, 5));
                        case 6 ->
                                between(
                                        Fault.Channel.DATAGRAMS,
                                        Fault.Kind.CUT,
                                        one,
                                        between(1, 5));
                        default ->
                                between(
                                        Fault.Channel.DATAGRAMS,
                                        Fault.Kind.LOSE,
                                        "all",
                                        between(1, 5));
                    });
        }
        return faults;
    }

    private Fault process(Fault.Kind kind, String who, double lasts) {
        return new Fault(
                kind,
                Fault.Channel.DATAGRAMS,
                FaultTarget.of(who),
                FaultTarget.ALL,
                false,
                begin(),
                lasts,
                1,
                0);
    }

    private Fault between(Fault.Channel channel, Fault.Kind kind, String who, double lasts) {
        double share = kind == Fault.Kind.LOSE ? 0.3 : 1;
        return new Fault(
                kind,
                channel,
                FaultTarget.of(who),
                FaultTarget.ALL,
                channel == Fault.Channel.DATAGRAMS,
                begin(),
                lasts,
                share,
                0);
    }

    /** Plays the day of a plan on processes of its own. */
    public static Verdict play(Plan plan, ProcessLauncher launcher, Consumer<String> progress)
            throws IOException, InterruptedException {
        List<String> wrong = new ArrayList<>();
        try (FleetTestbed stand =
                new FleetTestbed(plan.experiment, plan.seed, launcher, null, progress)) {
            stand.start();
            stand.loiters(plan.crowd);
            FleetTestbed.Played played = stand.play();
            if (played.broken() != null) {
                wrong.add(played.broken());
            }
            if (played.figures().overloadedColdBackends > 0) {
                wrong.add(played.figures().overloadedColdBackends + " cold backends pushed over");
            }
            wrong.addAll(stand.stop());
            return new Verdict(plan, played.figures(), wrong);
        }
    }
}
