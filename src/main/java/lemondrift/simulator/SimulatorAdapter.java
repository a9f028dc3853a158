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

/** The bench adapter: decodes batches into calls to the decisions and encodes what they return. */
public final class SimulatorAdapter {
    /** The bit of an arrival that says that the client has tried before. */
    private static final int RETRY = 2;

    private static final int BORN = 1;
    private static final int SYNC = 2;
    private static final int ARRIVAL = 3;
    private static final int UNDER_WAY = 4;
    private static final int FORWARD_END = 5;
    private static final int VANISHED = 6;
    private static final int BELL = 7;
    private static final int CHECKED = 8;
    private static final int CRASH_NOW = 10;
    private static final int DEFINE_LIST = 11;
    private static final AttemptOutcome[] OUTCOMES = AttemptOutcome.values();

    private final Map<Integer, SimulatedProxy> instances = new HashMap<>();
    private final Map<Integer, List<SimulatedProxy.Line>> lists = new HashMap<>();
    private final ReplyWriter reply = new ReplyWriter();
    private final PrintStream err;
    private double now;

    private SimulatorAdapter(PrintStream err) {
        this.err = err;
    }

    /** Plays until the input ends; returns the process's exit code. */
    public static int run(InputStream in, OutputStream out, PrintStream err) {
        SimulatorAdapter drill = new SimulatorAdapter(err);
        FrameReader frames = new FrameReader(in);
        long batch = 0;
        try {
            for (ByteBuffer body = frames.next(); body != null; body = frames.next()) {
                batch++;
                drill.reply.start();
                drill.batch(body);
                drill.reply.finish(out);
            }
            return 0;
        } catch (InvalidSettingsException | IOException e) {
            err.println("lemondrift drill: batch " + batch + ": " + e.getMessage());
            return 1;
        }
    }

    private void batch(ByteBuffer body) {
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
                record(code, body);
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

    private void record(int code, ByteBuffer b) {
        if (code == DEFINE_LIST) {
            lists.put(Byte.toUnsignedInt(b.get()), lines(b));
        } else if (code >= BORN && code < DEFINE_LIST) {
            int number = b.getInt();
            if (code == BORN) {
                long seed = b.getLong();
                byte[] text = new byte[checked(b, b.getInt(), 1)];
                b.get(text);
                Settings settings = SettingsReader.read(new String(text, StandardCharsets.UTF_8));
                instances.put(number, new SimulatedProxy(number, settings, seed));
            } else if (code == CRASH_NOW) {
                instances.remove(number);
            } else {
                event(code, number, b);
            }
        }
    }

    private void event(int code, int number, ByteBuffer b) {
        SimulatedProxy instance = instances.get(number);
        if (instance == null) {
            return;
        }
        Decision decision;
        try {
            decision = call(code, instance, b);
        } catch (java.nio.BufferUnderflowException | InvalidSettingsException e) {
            throw e;
        } catch (RuntimeException e) {
            err.println("lemondrift drill: instance " + number + ", event code " + code + ":");
            e.printStackTrace(err);
            reply.die(number, e.toString());
            instances.remove(number);
            return;
        }
        if (decision != null) {
            instance.write(decision, now, reply);
        }
    }

    /** Null where the event needs no decision. */
    private Decision call(int code, SimulatedProxy instance, ByteBuffer b) {
        switch (code) {
            case SYNC -> {
                int set = Byte.toUnsignedInt(b.get());
                int kind = b.get();
                if (kind == 3) {
                    return instance.balancer.endpointListFailed(now);
                }
                List<SimulatedProxy.Line> lines = lists.get(set);
                if (lines == null) {
                    throw new InvalidSettingsException("list " + set + " was never defined");
                }
                return instance.balancer.endpointsListed(
                        now, kind != 0, kind == 2, instance.listed(lines));
            }
            case ARRIVAL -> {
                long id = b.getLong();
                int requestClass = Short.toUnsignedInt(b.getShort());
                int tenant = b.getInt();
                b.getLong();
                double left = b.getDouble() / 1000;
                b.getDouble();
                return instance.balancer.requestArrived(
                        now,
                        instance.taken(
                                new Request(
                                        id,
                                        requestClass,
                                        tenant,
                                        now,
                                        left,
                                        (b.get() & RETRY) != 0)));
            }
            case UNDER_WAY -> {
                Attempt forward = instance.forward(b.getLong(), Byte.toUnsignedInt(b.get()));
                return forward == null ? null : instance.balancer.responseStarted(now, forward);
            }
            case FORWARD_END -> {
                Attempt forward = instance.forward(b.getLong(), Byte.toUnsignedInt(b.get()));
                address(b);
                int outcome = Short.toUnsignedInt(b.getShort());
                double durationSeconds = b.getDouble() / 1000;
                boolean over = b.get() != 0;
                double[] loadReport = report(b);
                if (forward == null || outcome >= OUTCOMES.length) {
                    return null;
                }
                Decision decision =
                        instance.balancer.attemptEnded(
                                now, forward, OUTCOMES[outcome], durationSeconds, over, loadReport);
                instance.release(forward.request);
                return decision;
            }
            case VANISHED -> {
                Request exchange = instance.exchange(b.getLong());
                if (exchange == null) {
                    return null;
                }
                Decision decision = instance.balancer.clientLeft(now, exchange);
                instance.release(exchange);
                return decision;
            }
            case BELL -> {
                return instance.isCurrentAlarm(b.getLong()) ? instance.balancer.wake(now) : null;
            }
            case CHECKED -> {
                int backend = instance.index(address(b));
                b.getDouble();
                int outcome = Short.toUnsignedInt(b.getShort());
                return outcome >= OUTCOMES.length
                        ? null
                        : instance.balancer.probeEnded(now, backend, OUTCOMES[outcome], report(b));
            }
            default -> {
                return null;
            }
        }
    }

    private static List<SimulatedProxy.Line> lines(ByteBuffer b) {
        int count = checked(b, b.getInt(), 24);
        List<SimulatedProxy.Line> lines = new ArrayList<>(count);
        for (int i = 0; i < count; i++) {
            long address = address(b);
            int location = Short.toUnsignedInt(b.getShort());
            b.get();
            int cell = Short.toUnsignedInt(b.getShort());
            EndpointUpdate.State state =
                    switch (b.get()) {
                        case 1 -> EndpointUpdate.State.READY;
                        case 2 -> EndpointUpdate.State.DRAINING;
                        default -> EndpointUpdate.State.GONE;
                    };
            double size = b.getFloat();
            lines.add(
                    new SimulatedProxy.Line(
                            address, location, cell, state, b.getDouble() / 1000, size));
        }
        return lines;
    }

    private static int checked(ByteBuffer b, int count, int bytesEach) {
        if (count < 0 || (long) count * bytesEach > b.remaining()) {
            throw new InvalidSettingsException(
                    "a count of " + Integer.toUnsignedString(count) + " does not fit its record");
        }
        return count;
    }

    private static long address(ByteBuffer b) {
        long host = Integer.toUnsignedLong(b.getInt());
        return host | (long) Short.toUnsignedInt(b.getShort()) << 32;
    }

    /** Null where no report came along. */
    private static double[] report(ByteBuffer b) {
        int count = b.hasRemaining() ? Byte.toUnsignedInt(b.get()) : 0;
        if (count == 0) {
            return null;
        }
        double[] loadReport = new double[count];
        for (int i = 0; i < count; i++) {
            loadReport[i] = b.getFloat();
        }
        return loadReport;
    }
}
