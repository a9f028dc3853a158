package lemondrift.proxy.gossip;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import lemondrift.gossip.LoadGossip;
import lemondrift.proxy.config.GossipSettings;
import lemondrift.proxy.events.DecisionEvents;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.IoUtils;
import org.xnio.OptionMap;
import org.xnio.XnioExecutor;
import org.xnio.XnioWorker;
import org.xnio.channels.MulticastMessageChannel;
import org.xnio.channels.SocketAddressBuffer;

/** Datagrams from and to the other proxies. I/O thread only, once it has begun. */
public final class GossipTransport {
    private static final Logger LOG = LoggerFactory.getLogger(GossipTransport.class);

    private final GossipSettings settings;
    private final DecisionEvents decisionEvents;
    private final Map<SocketAddress, Integer> numbers = new HashMap<>();
    private final ByteBuffer buffer = ByteBuffer.allocate(LoadGossip.MAX_DATAGRAM_BYTES + 1);
    private final SocketAddressBuffer sender = new SocketAddressBuffer();
    private MulticastMessageChannel channel;
    private XnioExecutor.Key timer;
    private boolean failed;

    public GossipTransport(GossipSettings settings, DecisionEvents decisionEvents) {
        this.settings = settings;
        this.decisionEvents = decisionEvents;
        for (int i = 0; i < settings.proxies().size(); i++) {
            numbers.put(settings.proxies().get(i), i);
        }
    }

    /** Danger: a proxy that can't hear the others can still serve. */
    public void start(XnioWorker worker) {
        try {
            channel = worker.createUdpServer(settings.listen(), OptionMap.EMPTY);
        } catch (IOException e) {
            warn(e);
            return;
        }
        // Danger: to be woken for each datagram takes more of a part of a core than all exchanges
        // do.
        timer =
                worker.getIoThread()
                        .executeAtInterval(
                                this::receive,
                                (long) (settings.minIntervalSeconds() * 1e9),
                                TimeUnit.NANOSECONDS);
    }

    /**
     * Reads all that has come; each exchange that arrives has this done first. Danger: a datagram
     * from an unknown sender, or a longer one than any may be, is not from a proxy.
     */
    public void receive() {
        if (channel == null) {
            return;
        }
        try {
            for (int got = channel.receiveFrom(sender, buffer.clear());
                    got > 0;
                    got = channel.receiveFrom(sender, buffer.clear())) {
                Integer from = numbers.get(sender.getSourceAddress());
                if (from != null && got <= LoadGossip.MAX_DATAGRAM_BYTES) {
                    byte[] datagram = new byte[got];
                    buffer.flip().get(datagram);
                    decisionEvents.datagramReceived(from, datagram);
                }
            }
        } catch (IOException | RuntimeException e) {
            warn(e);
        }
    }

    public void send(LoadGossip.Message telling) {
        if (channel == null) {
            return;
        }
        try {
            channel.sendTo(
                    settings.proxies().get(telling.to()), ByteBuffer.wrap(telling.datagram()));
        } catch (IOException | RuntimeException e) {
            warn(e);
        }
    }

    private void warn(Exception e) {
        if (!failed) {
            LOG.warn("other proxies can't be told or heard: {}", e.toString());
        }
        failed = true;
    }

    public void stop() {
        if (timer != null) {
            timer.remove();
        }
        IoUtils.safeClose(channel);
    }
}
