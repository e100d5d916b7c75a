package org.mangowall.edge.traffic;

import java.net.InetSocketAddress;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.RecvByteBufAllocator;
import io.netty.channel.ServerChannelRecvByteBufAllocator;
import org.mangowall.edge.log.GuardedTask;
import org.mangowall.edge.overload.ConnectionHolder;
import org.mangowall.edge.overload.ConnectionRoom;
import org.mangowall.edge.overload.DescriptorBudget;
import org.mangowall.edge.overload.RoomDecision;

/** Applies {@link ConnectionRoom}: closes idle connections, and has accepting stopped while that isn't enough. */
public final class CallerRoom {

    private static final long LOG_INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(1);
    private static final long REFUSING_CHECK_MILLIS = 10;

    private final EdgeContext context;
    private final ServerChannelRecvByteBufAllocator acceptedInATurn = AcceptOptions.allConnections();
    private final Set<TrackedConnection> open = new LinkedHashSet<>();
    private final GuardedTask check;
    private Consumer<Boolean> acceptingListener = isAccepting -> {};
    private int limit = Integer.MAX_VALUE;
    private boolean isAccepting = true;
    private boolean isCheckScheduled;
    private int closedSinceLine;
    private long lastLineAt;

    CallerRoom(EdgeContext context) {
        this.context = context;
        this.check = new GuardedTask(context.log(), "caller-room", this::check);
        this.lastLineAt = context.now() - LOG_INTERVAL_NANOS;
    }

    /** Sets what is told when connections are to be refused, and when they are to be accepted again. */
    public void setAcceptingListener(Consumer<Boolean> listener) {
        acceptingListener = listener;
    }

    /** Returns how many connections a turn of the event loop accepts; it falls as room gets short. */
    public RecvByteBufAllocator acceptedInATurn() {
        return acceptedInATurn;
    }

    /** Sets how many connections leave enough descriptors for everything else. */
    void setLimit(int newLimit) {
        limit = newLimit;
        roomChanged();
    }

    /** Descriptors have run out though the limit is kept: fewer connections are left until it is set again. */
    public void descriptorsRanOut() {
        limit = Math.min(limit, open.size());
        roomChanged();
    }

    /** Returns a handler that counts a connection which isn't one for requests, such as of the directory. */
    public ChannelHandler tracker() {
        return new TrackedChannel(context, this);
    }

    /** Returns who holds a connection that has carried no request of a workspace. */
    static ConnectionHolder holderOf(Channel channel) {
        return new ConnectionHolder.Address(
                channel.remoteAddress() instanceof InetSocketAddress address
                        ? address.getAddress().getHostAddress()
                        : String.valueOf(channel.remoteAddress()));
    }

    void add(TrackedConnection connection) {
        open.add(connection);
        roomChanged();
    }

    void remove(TrackedConnection connection) {
        open.remove(connection);
        roomChanged();
    }

    /** A connection has become idle, so that it may be closed. */
    void becameIdle() {
        if (!isAccepting) {
            scheduleCheck();
        }
    }

    private void roomChanged() {
        long room = (long) limit + DescriptorBudget.ACCEPTED_AT_LIMIT - open.size();
        int accepted = Math.clamp(room, 1, AcceptOptions.MAX_ACCEPTED_IN_A_TURN);
        if (acceptedInATurn.maxMessagesPerRead() != accepted) {
            acceptedInATurn.maxMessagesPerRead(accepted);
        }
        if (open.size() >= limit || !isAccepting) {
            scheduleCheck();
        }
    }

    /**
     * A task runs after the reads of this turn, so that a request that has arrived is read before. While connections
     * are refused, each look at all of them may find little, so they become rarer.
     */
    private void scheduleCheck() {
        if (isCheckScheduled) {
            return;
        }
        isCheckScheduled = true;
        if (isAccepting) {
            context.loop().execute(check);
        } else {
            context.loop().schedule(check, REFUSING_CHECK_MILLIS, TimeUnit.MILLISECONDS);
        }
    }

    private void check() {
        isCheckScheduled = false;
        switch (new ConnectionRoom(limit).decide(open, isAccepting, context.now())) {
            case RoomDecision.Accept<TrackedConnection> accept -> setAccepting(true);
            case RoomDecision.CloseIdle<TrackedConnection> idle -> {
                close(idle.connections());
                setAccepting(true);
            }
            case RoomDecision.StopAccepting<TrackedConnection> stop -> {
                close(stop.connections());
                setAccepting(false);
            }
        }
    }

    private void close(List<TrackedConnection> connections) {
        if (connections.isEmpty()) {
            return;
        }
        closedSinceLine += connections.size();
        context.metrics().countClosedForRoom(connections.size());
        long now = context.now();
        if (now - lastLineAt >= LOG_INTERVAL_NANOS) {
            lastLineAt = now;
            writeLine("closed-for-room");
        }
        connections.forEach(TrackedConnection::closeIfIdle);
    }

    private void setAccepting(boolean newIsAccepting) {
        if (isAccepting == newIsAccepting) {
            return;
        }
        isAccepting = newIsAccepting;
        if (!isAccepting) {
            context.metrics().countAcceptingStop();
        }
        writeLine(isAccepting ? "accepting-resumed" : "accepting-stopped");
        acceptingListener.accept(isAccepting);
    }

    private void writeLine(String change) {
        int closed = closedSinceLine;
        closedSinceLine = 0;
        context.log().write("caller-room", line -> {
            line.writeStringField("change", change);
            line.writeNumberField("open", open.size());
            line.writeNumberField("limit", limit);
            line.writeNumberField("closed", closed);
        });
    }
}
