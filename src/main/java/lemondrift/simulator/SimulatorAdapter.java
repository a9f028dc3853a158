package lemondrift.simulator;

import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import lemondrift.model.Attempt;
import lemondrift.model.AttemptOutcome;
import lemondrift.model.Decision;
import lemondrift.model.EndpointUpdate;
import lemondrift.model.Request;
import lemondrift.model.Settings;
import lemondrift.settings.InvalidSettingsException;
import lemondrift.settings.SettingsReader;

/**
 * Connects the operators' simulator on standard input and output: decodes batches of events into
 * calls of the load balancers of many proxies and encodes their decisions. The record codes are
 * those of the simulator's wire protocol.
 */
public final class SimulatorAdapter {
    /** The flag of an arriving request that marks it as a retry by the client. */
    private static final int RETRY_FLAG = 2;

    /** The record codes of a batch. */
    private static final int PROXY_STARTED = 1;

    private static final int ENDPOINT_LIST = 2;
    private static final int REQUEST_ARRIVED = 3;
    private static final int RESPONSE_STARTED = 4;
    private static final int ATTEMPT_ENDED = 5;
    private static final int CLIENT_LEFT = 6;
    private static final int ALARM = 7;
    private static final int PROBE_ENDED = 8;
    private static final int PROXY_CRASHED = 10;
    private static final int DEFINE_LIST = 11;

    /** The kinds of endpoint list event; any other value means a full list. */
    private static final int LIST_OF_CHANGES = 0;

    private static final int LIST_STALE = 2;
    private static final int LIST_FAILED = 3;

    /** Attempt outcomes, indexed by their code on the wire. */
    private static final AttemptOutcome[] OUTCOMES = {
        AttemptOutcome.ERROR,
        AttemptOutcome.SUCCESS,
        AttemptOutcome.OVERLOADED,
        AttemptOutcome.TIMED_OUT,
        AttemptOutcome.CONNECT_FAILED,
        AttemptOutcome.RESET,
        AttemptOutcome.CANCELLED,
        AttemptOutcome.NOT_SENT
    };

    private final Map<Integer, SimulatedProxy> proxies = new HashMap<>();
    private final Map<Integer, List<SimulatedProxy.Endpoint>> lists = new HashMap<>();
    private final ReplyWriter reply = new ReplyWriter();
    private final PrintStream err;
    private double now;

    private SimulatorAdapter(PrintStream err) {
        this.err = err;
    }

    /**
     * Processes batches until the input ends; returns the exit code of the process: 0, or 1 after
     * an invalid batch or an I/O error.
     */
    public static int run(InputStream in, OutputStream out, PrintStream err) {
        SimulatorAdapter adapter = new SimulatorAdapter(err);
        FrameReader frames = new FrameReader(in);
        long batch = 0;
        try {
            for (ByteBuffer body = frames.readBatch(); body != null; body = frames.readBatch()) {
                batch++;
                adapter.reply.start();
                adapter.processBatch(body);
                adapter.reply.finish(out);
            }
            return 0;
        } catch (InvalidSettingsException | IOException e) {
            err.println("lemondrift drill: batch " + batch + ": " + e.getMessage());
            return 1;
        }
    }

    private void processBatch(ByteBuffer body) {
        now = body.getDouble() / 1000;
        int count = body.getInt();
        int limit = body.limit();
        for (int i = 0; i < count; i++) {
            int at = body.position();
            if (limit - at < 5) {
                throw new InvalidSettingsException(
                        "record " + i + " of " + count + " at byte " + at + " is cut short");
            }
            int code = Byte.toUnsignedInt(body.get());
            int length = body.getInt();
            if (length < 0 || length > limit - body.position()) {
                throw new InvalidSettingsException(
                        "record "
                                + i
                                + " (code "
                                + code
                                + ") at byte "
                                + at
                                + " has length "
                                + Integer.toUnsignedString(length)
                                + ", more than the batch holds");
            }
            int end = body.position() + length;
            body.limit(end);
            try {
                processRecord(code, body);
            } catch (java.nio.BufferUnderflowException | IllegalArgumentException e) {
                throw new InvalidSettingsException(
                        "record "
                                + i
                                + " (code "
                                + code
                                + ") at byte "
                                + at
                                + " of length "
                                + length
                                + " is too short for its fields");
            }
            body.limit(limit).position(end);
        }
        if (body.hasRemaining()) {
            throw new InvalidSettingsException(body.remaining() + " bytes follow the last record");
        }
    }

    private void processRecord(int code, ByteBuffer in) {
        if (code == DEFINE_LIST) {
            lists.put(Byte.toUnsignedInt(in.get()), readEndpoints(in));
            return;
        }
        if (code < PROXY_STARTED || code > DEFINE_LIST) {
            return;
        }
        int number = in.getInt();
        switch (code) {
            case PROXY_STARTED -> proxyStarted(number, in);
            case PROXY_CRASHED -> proxies.remove(number);
            default -> processEvent(code, number, in);
        }
    }

    private void proxyStarted(int number, ByteBuffer in) {
        long seed = in.getLong();
        byte[] text = new byte[requireFits(in, in.getInt(), 1)];
        in.get(text);
        Settings settings = SettingsReader.read(new String(text, StandardCharsets.UTF_8));
        proxies.put(number, new SimulatedProxy(number, settings, seed));
    }

    private void processEvent(int code, int number, ByteBuffer in) {
        SimulatedProxy proxy = proxies.get(number);
        if (proxy == null) {
            return;
        }
        Decision decision;
        try {
            decision = decide(code, proxy, in);
        } catch (java.nio.BufferUnderflowException | InvalidSettingsException e) {
            throw e;
        } catch (RuntimeException e) {
            // Guards against an error of one proxy that ends the simulation of all others.
            err.println("lemondrift drill: instance " + number + ", event code " + code + ":");
            e.printStackTrace(err);
            reply.proxyFailed(number, e.toString());
            proxies.remove(number);
            return;
        }
        if (decision != null) {
            proxy.writeDecision(decision, now, reply);
        }
    }

    /**
     * Decodes one event and passes it to the proxy; returns null if the event needs no decision.
     */
    private Decision decide(int code, SimulatedProxy proxy, ByteBuffer in) {
        return switch (code) {
            case ENDPOINT_LIST -> endpointListReceived(proxy, in);
            case REQUEST_ARRIVED -> requestArrived(proxy, in);
            case RESPONSE_STARTED -> responseStarted(proxy, in);
            case ATTEMPT_ENDED -> attemptEnded(proxy, in);
            case CLIENT_LEFT -> clientLeft(proxy, in);
            case ALARM -> alarmFired(proxy, in);
            case PROBE_ENDED -> probeEnded(proxy, in);
            default -> null;
        };
    }

    private Decision alarmFired(SimulatedProxy proxy, ByteBuffer in) {
        if (!proxy.isCurrentAlarm(in.getLong())) {
            return null;
        }
        return proxy.balancer.wake(now);
    }

    private Decision endpointListReceived(SimulatedProxy proxy, ByteBuffer in) {
        int list = Byte.toUnsignedInt(in.get());
        int kind = in.get();
        if (kind == LIST_FAILED) {
            return proxy.balancer.endpointListFailed(now);
        }
        List<SimulatedProxy.Endpoint> endpoints = lists.get(list);
        if (endpoints == null) {
            throw new InvalidSettingsException(
                    "endpoint list event: list "
                            + list
                            + " was never defined, expected a list from an earlier record");
        }
        return proxy.balancer.endpointListCompleted(
                now,
                kind != LIST_OF_CHANGES,
                kind == LIST_STALE,
                proxy.toEndpointUpdates(endpoints));
    }

    private Decision requestArrived(SimulatedProxy proxy, ByteBuffer in) {
        long id = in.getLong();
        int requestClass = Short.toUnsignedInt(in.getShort());
        int tenant = in.getInt();
        in.getLong(); // skip the idempotency key, which only backends need
        double secondsLeft = in.getDouble() / 1000;
        in.getDouble(); // skip the timeout of the client
        boolean markedRetry = (in.get() & RETRY_FLAG) != 0;
        Request request = new Request(id, requestClass, tenant, now, secondsLeft, markedRetry);
        return proxy.balancer.requestArrived(now, proxy.accept(request));
    }

    private static Attempt readAttempt(SimulatedProxy proxy, ByteBuffer in) {
        return proxy.attempt(in.getLong(), Byte.toUnsignedInt(in.get()));
    }

    private Decision responseStarted(SimulatedProxy proxy, ByteBuffer in) {
        Attempt attempt = readAttempt(proxy, in);
        return attempt == null ? null : proxy.balancer.responseStarted(now, attempt);
    }

    private Decision attemptEnded(SimulatedProxy proxy, ByteBuffer in) {
        Attempt attempt = readAttempt(proxy, in);
        readAddress(in);
        int outcome = Short.toUnsignedInt(in.getShort());
        double durationSeconds = in.getDouble() / 1000;
        boolean completed = in.get() != 0;
        double[] loadReport = readLoadReport(in);
        if (attempt == null || outcome >= OUTCOMES.length) {
            return null;
        }
        Decision decision =
                proxy.balancer.attemptEnded(
                        now, attempt, OUTCOMES[outcome], durationSeconds, completed, loadReport);
        proxy.forgetIfDone(attempt.request);
        return decision;
    }

    private Decision clientLeft(SimulatedProxy proxy, ByteBuffer in) {
        Request request = proxy.request(in.getLong());
        if (request == null) {
            return null;
        }
        Decision decision = proxy.balancer.requestAbandoned(now, request);
        proxy.forgetIfDone(request);
        return decision;
    }

    private Decision probeEnded(SimulatedProxy proxy, ByteBuffer in) {
        int backend = proxy.backendIndex(readAddress(in));
        in.getDouble(); // skip the duration of the probe
        int outcome = Short.toUnsignedInt(in.getShort());
        return outcome >= OUTCOMES.length
                ? null
                : proxy.balancer.probeEnded(now, backend, OUTCOMES[outcome], readLoadReport(in));
    }

    private static List<SimulatedProxy.Endpoint> readEndpoints(ByteBuffer in) {
        int count = requireFits(in, in.getInt(), 24);
        List<SimulatedProxy.Endpoint> endpoints = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long address = readAddress(in);
            int location = Short.toUnsignedInt(in.getShort());
            in.get();
            int cell = Short.toUnsignedInt(in.getShort());
            EndpointUpdate.State state =
                    switch (in.get()) {
                        case 1 -> EndpointUpdate.State.READY;
                        case 2 -> EndpointUpdate.State.DRAINING;
                        default -> EndpointUpdate.State.GONE;
                    };
            double weight = in.getFloat();
            endpoints.add(
                    new SimulatedProxy.Endpoint(
                            address, location, cell, state, in.getDouble() / 1000, weight));
        }
        return endpoints;
    }

    private static int requireFits(ByteBuffer in, int count, int bytesEach) {
        if (count < 0 || (long) count * bytesEach > in.remaining()) {
            throw new InvalidSettingsException(
                    "invalid count: "
                            + Integer.toUnsignedString(count)
                            + " entries of "
                            + bytesEach
                            + " bytes, but the record has only "
                            + in.remaining()
                            + " bytes left");
        }
        return count;
    }

    private static long readAddress(ByteBuffer in) {
        long host = Integer.toUnsignedLong(in.getInt());
        return host | (long) Short.toUnsignedInt(in.getShort()) << 32;
    }

    /** Returns the load report at the end of a record; null if there is none. */
    private static double[] readLoadReport(ByteBuffer in) {
        int count = in.hasRemaining() ? Byte.toUnsignedInt(in.get()) : 0;
        if (count == 0) {
            return null;
        }
        double[] loadReport = new double[count];
        for (int i = 0; i < count; i++) {
            loadReport[i] = in.getFloat();
        }
        return loadReport;
    }
}
