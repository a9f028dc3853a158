package lemondrift.lab.fleet;

import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.concurrent.Callable;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.function.ObjDoubleConsumer;
import lemondrift.lab.simulation.Fault;

/**
 * Starts the proxies' processes and has the day's faults fall on them. What is decided here happens
 * on the I/O thread; what is done to a process may take its time, so it has a thread of its own.
 */
final class ProcessFaultInjector {
    private static final double LOOKS = 0.1;
    private static final double STILL_COME = 0.3;

    /**
     * How long after the longest expiry a process that was told to end may be killed; the protocol
     * page.
     */
    private static final double KILLED_AFTER = 0.7;

    private static final int HANG_UPS = 4;

    /** Steps in which a fleet is rolled. */
    private static final int STEPS = 10;

    private final ProxyProcesses processes;
    private final DiscoveryAgents agents;
    private final ClientDistributor clientDistributor;
    private final OutcomeRecorder recorder;
    private final RealTimeScheduler scheduler;
    private final InetSocketAddress[] listenAddresses;
    private final InetSocketAddress[] gossipAddresses;
    private final CompletableFuture<Void> failed;

    /** In seconds. */
    private final double longestExpiry;

    /** Who has a connection to a proxy goes on using it until a time. */
    private final ObjDoubleConsumer<Integer> stays;

    private final ExecutorService hands = Executors.newSingleThreadExecutor();

    /** Those that are to be down. */
    private final boolean[] down;

    /** How often each was started. */
    private final int[] starts;

    /** Where each proxy listens and hears the others; what fails is told as the day's failure. */
    ProcessFaultInjector(
            ProxyProcesses processes,
            DiscoveryAgents agents,
            ClientDistributor clientDistributor,
            OutcomeRecorder recorder,
            RealTimeScheduler scheduler,
            InetSocketAddress[] listenAddresses,
            InetSocketAddress[] gossipAddresses,
            CompletableFuture<Void> failed,
            double longestExpiry,
            ObjDoubleConsumer<Integer> stays) {
        this.longestExpiry = longestExpiry;
        this.stays = stays;
        this.processes = processes;
        this.agents = agents;
        this.clientDistributor = clientDistributor;
        this.recorder = recorder;
        this.scheduler = scheduler;
        this.listenAddresses = listenAddresses;
        this.gossipAddresses = gossipAddresses;
        this.failed = failed;
        down = new boolean[listenAddresses.length];
        starts = new int[listenAddresses.length];
        Arrays.fill(down, true);
    }

    /** Does something with processes, which may take its time; what fails there ends the day. */
    void acts(Runnable what) {
        hands.execute(
                () -> {
                    try {
                        what.run();
                    } catch (RuntimeException e) {
                        failed.completeExceptionally(e);
                    }
                });
    }

    void starts(int p) {
        ProxyProcesses.Place place =
                new ProxyProcesses.Place(
                        listenAddresses[p], gossipAddresses[p], agents.address(p), agents.known(p));
        recorder.excuses(p, true);
        down[p] = false;
        starts[p]++;
        acts(
                () -> {
                    processes.start(p, place);
                    scheduler.soon(
                            () -> clientDistributor.looksAt(p, () -> recorder.excuses(p, false)));
                });
    }

    private void ends(int p, boolean outright) {
        if (!down[p]) {
            down[p] = true;
            if (outright) {
                recorder.excuses(p, true);
                acts(() -> processes.kill(p));
            } else {
                acts(() -> processes.stop(p));
                // As a front that is told of it: some still come while it drains.
                scheduler.after(STILL_COME, () -> clientDistributor.leaves(p));
            }
        }
    }

    /**
     * One is told to end. Its front sends nobody more after a while, but who has a connection uses
     * it for as long as it is there; what the kill finds unanswered is not excused.
     */
    private void terminates(int p) {
        if (down[p]) {
            return;
        }
        down[p] = true;
        acts(() -> processes.stop(p));
        double kill = scheduler.now() + longestExpiry + KILLED_AFTER;
        scheduler.after(
                STILL_COME,
                () -> {
                    clientDistributor.leaves(p);
                    stays.accept(p, kill);
                });
        int start = starts[p];
        scheduler.at(
                kill,
                () -> {
                    // Guards against killing the process that has taken its number since.
                    if (starts[p] == start) {
                        acts(() -> processes.kill(p));
                    }
                });
    }

    /** Starts one again as soon as its former process has ended. */
    private void startsAgain(int p) {
        if (down[p]) {
            acts(
                    () -> {
                        boolean alive = processes.isAlive(p);
                        scheduler.soon(
                                () -> {
                                    if (alive) {
                                        scheduler.after(LOOKS, () -> startsAgain(p));
                                    } else if (down[p]) {
                                        clientDistributor.leaves(p);
                                        starts(p);
                                    }
                                });
                    });
        }
    }

    /** One begins now. */
    void begins(FaultPlan.Drawn drawn) {
        Fault fault = drawn.fault();
        int[] numbers = drawn.numbers();
        switch (fault.kind()) {
            case KILL, STOP -> {
                for (int p : numbers) {
                    ends(p, fault.kind() == Fault.Kind.KILL);
                    scheduler.after(fault.lasts(), () -> startsAgain(p));
                }
            }
            case PAUSE -> {
                for (int p : numbers) {
                    recorder.excuses(p, true);
                    acts(() -> processes.pause(p));
                    scheduler.after(
                            fault.lasts(),
                            () ->
                                    acts(
                                            () -> {
                                                processes.wake(p);
                                                scheduler.soon(() -> recorder.excuses(p, false));
                                            }));
                }
            }
            case ROLL -> {
                for (int k = 0; k < numbers.length; k++) {
                    int p = numbers[k];
                    int step = k * STEPS / numbers.length;
                    scheduler.after(
                            fault.lasts() / STEPS * step,
                            () -> {
                                ends(p, false);
                                startsAgain(p);
                            });
                }
            }
            case TERMINATE -> {
                for (int p : numbers) {
                    terminates(p);
                    scheduler.after(fault.lasts(), () -> startsAgain(p));
                }
            }
            case HANG_UP -> {
                for (int k = 0; k < HANG_UPS; k++) {
                    scheduler.after(
                            fault.lasts() * k / HANG_UPS,
                            () -> {
                                for (int p : numbers) {
                                    acts(() -> processes.hangUp(p));
                                }
                            });
                }
            }
            default -> throw new IllegalStateException(fault.kind() + " falls on no process");
        }
    }

    /** What comes of something done to the processes. */
    <T> T result(Callable<T> what) throws InterruptedException {
        try {
            return hands.submit(what).get();
        } catch (ExecutionException e) {
            throw new IllegalStateException(e.getCause());
        }
    }

    void close() {
        hands.shutdownNow();
    }
}
