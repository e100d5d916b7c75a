package org.mangowall.edge.peer;

import java.util.EnumMap;
import java.util.Map;
import java.util.Optional;

import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;
import org.mangowall.edge.wire.StorePosition;

/**
 * What this host knows about another host, its peer.
 *
 * <p>There may be an inbound connection, on which the peer sends messages, and an outbound one for messages to it.
 * Hosts that have neither receive each other's reports through relays.
 */
final class PeerState {

    /** A host restarts within a second, so a few attempts are made in that time. */
    private static final long MIN_DIAL_DELAY_NANOS = 100_000_000L;

    /** Bounds the time to reconnect after a network partition ends. */
    private static final long MAX_DIAL_DELAY_NANOS = 1_000_000_000L;

    /** How long an unneeded connection is kept, since the relay plan may change back. */
    private static final long UNNEEDED_TIMEOUT_NANOS = 3_000_000_000L;

    private HostRecord host;
    private PeerChannel inbound;
    private PeerChannel outbound;
    private boolean isReady;
    private boolean hasStore = true;
    private LinkRole role = LinkRole.UNKNOWN;
    private int protocolVersion;
    private boolean isThroughRelay;
    private Map<ObjectKind, StorePosition> completeTo = Map.of();
    private long lastSequence;
    private final Map<ObjectKind, Long> missingSince = new EnumMap<>(ObjectKind.class);
    private final Map<ObjectKind, Comparison> comparisons = new EnumMap<>(ObjectKind.class);
    private boolean isDialing;
    private boolean isCounted;
    private boolean wantsHandover;
    private long lastHeardAt;
    private long lastInboundAt;
    private long lastReportsSentAt;
    private long lastReportsReceivedAt;
    private long acknowledgedAt;
    private long nextDialAt;
    private long dialDelayNanos;
    private long unneededSince = Long.MAX_VALUE;
    private long objectsSentAt;
    private LinkRole announcedRole = LinkRole.UNKNOWN;

    /**
     * Fingerprints that were sent to the peer while it was complete up to a position.
     *
     * @param after the position of the peer
     * @param asOf the position of the last fingerprint
     * @param firstSentAt when the first one was sent
     */
    private record Comparison(StorePosition after, StorePosition asOf, long firstSentAt) {}

    PeerState(HostRecord host) {
        this.host = host;
    }

    HostRecord host() {
        return host;
    }

    /** Records a new incarnation of the peer. */
    void restarted(HostRecord newIncarnation) {
        host = newIncarnation;
        lastSequence = 0;
        missingSince.clear();
        comparisons.clear();
    }

    /**
     * Whether a report is newer than all applied ones, or of a later incarnation. While the known incarnation is
     * silent, one with a smaller number counts as later too: the peer's clock was set back before it restarted.
     */
    boolean isNewer(HostReport report, boolean isSilent) {
        if (report.incarnation() == host.incarnation()) {
            return report.sequence() > lastSequence;
        }
        return report.incarnation() > host.incarnation() || isSilent;
    }

    /** Applies a report of the peer. */
    void applyReport(HostReport report, HostState state, boolean isDirect) {
        lastSequence = report.sequence();
        isThroughRelay = !isDirect;
        isReady = state.isReady();
        hasStore = state.hasStore();
        completeTo = state.completeTo();
    }

    /** Records the inbound connection and the role that the peer announced on it. */
    void helloReceived(PeerChannel from, HostMessage.Hello hello) {
        if (inbound != null && inbound != from) {
            inbound.close();
        }
        inbound = from;
        role = hello.role();
        protocolVersion = hello.version();
        wantsHandover |= hello.wantsHandover();
    }

    /** Whether the peer is known to decode compressed messages. */
    boolean acceptsCompression() {
        return protocolVersion >= PeerCodec.COMPRESSION_VERSION;
    }

    /** Whether reports of the peer can arrive. */
    boolean isConnected() {
        return inbound != null || isThroughRelay;
    }

    PeerChannel inbound() {
        return inbound;
    }

    /** Records that a report or hello of the peer was received, directly or through a relay. */
    void recordHeard(long now) {
        lastHeardAt = now;
    }

    /** Records a message on the inbound connection. */
    void recordInbound(long now) {
        lastInboundAt = now;
    }

    /** Records reports on the inbound connection, whose time of sending the next acknowledgement returns. */
    void recordReports(HostMessage.Reports reports, long now) {
        lastReportsSentAt = reports.sentAt();
        lastReportsReceivedAt = now;
    }

    HostMessage.Acknowledgement nextAcknowledgement(long now) {
        return new HostMessage.Acknowledgement(lastReportsSentAt, now - lastReportsReceivedAt);
    }

    long lastInboundAt() {
        return lastInboundAt;
    }

    long lastHeardAt() {
        return lastHeardAt;
    }

    PeerChannel outbound() {
        return outbound;
    }

    void opened(PeerChannel channel, LinkRole announced, long now) {
        outbound = channel;
        announcedRole = announced;
        acknowledgedAt = now;
        nextDialAt = now;
        dialDelayNanos = 0;
    }

    void closeOutbound() {
        if (outbound != null) {
            outbound.close();
            outbound = null;
        }
    }

    /** Forgets a closed connection. */
    void closed(PeerChannel gone) {
        if (inbound == gone) {
            inbound = null;
            role = LinkRole.UNKNOWN;
            protocolVersion = 0;
        }
        if (outbound == gone) {
            outbound = null;
        }
    }

    void recordAcknowledgement(long now) {
        acknowledgedAt = now;
    }

    long acknowledgedAt() {
        return acknowledgedAt;
    }

    boolean isReady() {
        return isReady;
    }

    /** The role that the peer announced last. */
    LinkRole role() {
        return role;
    }

    /** The role of this host that was last announced to the peer. */
    LinkRole announcedRole() {
        return announcedRole;
    }

    void setAnnouncedRole(LinkRole announced) {
        announcedRole = announced;
    }

    /** Whether the peer may be reachable: it is connected, being dialled, or past the delay after the last attempt. */
    boolean mayBeReachable(long now) {
        return outbound != null || isDialing || now >= nextDialAt;
    }

    boolean isDialing() {
        return isDialing;
    }

    void beginDialing(long now) {
        isDialing = true;
        dialDelayNanos = Math.clamp(dialDelayNanos * 2, MIN_DIAL_DELAY_NANOS, MAX_DIAL_DELAY_NANOS);
        nextDialAt = now + dialDelayNanos;
    }

    void endDialing() {
        isDialing = false;
    }

    /** Updates whether the outbound connection is needed; returns whether it has been unneeded for long. */
    boolean isLongUnneeded(boolean isNeeded, long now) {
        unneededSince = isNeeded ? Long.MAX_VALUE : Math.min(unneededSince, now);
        return !isNeeded && now - unneededSince > UNNEEDED_TIMEOUT_NANOS;
    }

    /** Whether the peer's in-flight requests are counted in the fleet's load. */
    boolean isCounted() {
        return isCounted;
    }

    void setCounted(boolean counted) {
        isCounted = counted;
    }

    /** Returns and clears the peer's request for the prompt parts that runners have cached. */
    boolean takeHandoverRequest() {
        boolean wasRequested = wantsHandover;
        wantsHandover = false;
        return wasRequested;
    }

    /** The position in the store up to which the peer knows each kind of object. */
    Map<ObjectKind, StorePosition> completeTo() {
        return completeTo;
    }

    boolean hasStore() {
        return hasStore;
    }

    /** Updates whether the peer may lack objects of a kind; returns for how long it may have, in nanoseconds. */
    long missingForNanos(ObjectKind kind, boolean isMissing, long now) {
        if (!isMissing) {
            missingSince.remove(kind);
            return 0;
        }
        return now - missingSince.computeIfAbsent(kind, any -> now);
    }

    /** Whether the peer is known to compare fingerprints of the store's objects. */
    boolean comparesFingerprints() {
        return protocolVersion >= PeerCodec.FINGERPRINT_VERSION;
    }

    /** Records that a fingerprint as of a position was sent to the peer. */
    void recordComparison(ObjectKind kind, StorePosition asOf, long now) {
        StorePosition after = completeTo.get(kind);
        long firstSentAt = currentComparison(kind).map(Comparison::firstSentAt).orElse(now);
        comparisons.put(kind, new Comparison(after, asOf, firstSentAt));
    }

    /** Whether a fingerprint as of a position was sent to the peer, whose position hasn't changed since. */
    boolean isComparing(ObjectKind kind, StorePosition asOf) {
        return currentComparison(kind)
                .filter(comparison -> comparison.asOf().equals(asOf))
                .isPresent();
    }

    /** Whether the peer's objects differ: its position hasn't changed for some time since a fingerprint was sent. */
    boolean differs(ObjectKind kind, long timeoutNanos, long now) {
        return currentComparison(kind)
                .filter(comparison -> now - comparison.firstSentAt() > timeoutNanos)
                .isPresent();
    }

    /** Ends the comparison, since all objects were sent. */
    void endComparison(ObjectKind kind) {
        comparisons.remove(kind);
    }

    private Optional<Comparison> currentComparison(ObjectKind kind) {
        return Optional.ofNullable(comparisons.get(kind))
                .filter(comparison -> comparison.after().equals(completeTo.get(kind)));
    }

    long objectsSentAt() {
        return objectsSentAt;
    }

    void recordObjectsSent(long now) {
        objectsSentAt = now;
    }
}
