package org.mangowall.edge.peer;

import java.util.Map;

import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;

/**
 * What this host knows of another.
 *
 * <p>There may be a connection over which it hears the other, and one over which it speaks to it; hosts that have
 * neither hear of each other through relays.
 */
final class PeerState {

    /** A host that restarts is back within a second; it is tried a few times before that. */
    private static final long FIRST_DIAL_PAUSE_NANOS = 100_000_000L;

    /** Hosts that were cut off know each other again this soon after the cut. */
    private static final long MOST_DIAL_PAUSE_NANOS = 1_000_000_000L;

    /** A connection that is no longer needed is kept so long: the plan may change back. */
    private static final long UNNEEDED_NANOS = 3_000_000_000L;

    private HostRecord host;
    private PeerChannel inbound;
    private PeerChannel outbound;
    private boolean isReady;
    private boolean hasStore = true;
    private LinkRole role = LinkRole.UNKNOWN;
    private boolean isThroughRelay;
    private Map<ObjectKind, Long> completeTo = Map.of();
    private long lastSequence;
    private long lackingSince = Long.MAX_VALUE;
    private boolean isDialing;
    private boolean isCounted;
    private boolean wantsParts;
    private long heardAt;
    private long inboundAt;
    private long answeredAt;
    private long nextDialAt;
    private long dialPauseNanos;
    private long unneededSince = Long.MAX_VALUE;
    private long toldObjectsAt;
    private LinkRole toldRole = LinkRole.UNKNOWN;

    PeerState(HostRecord host) {
        this.host = host;
    }

    HostRecord host() {
        return host;
    }

    /** A new start of its process is known. */
    void restarted(HostRecord newStart) {
        host = newStart;
        lastSequence = 0;
    }

    /**
     * Whether a report is newer than all that were taken, or of a later start. A start with a smaller number is later
     * when the one before has been silent: its clock was set back.
     */
    boolean isNewer(HostReport report, boolean isSilent) {
        if (report.incarnation() == host.incarnation()) {
            return report.sequence() > lastSequence;
        }
        return report.incarnation() > host.incarnation() || isSilent;
    }

    /** Takes what it says of itself. */
    void take(HostReport report, HostState state, boolean isDirect) {
        lastSequence = report.sequence();
        isThroughRelay = !isDirect;
        isReady = state.isReady();
        hasStore = state.hasStore();
        completeTo = state.completeTo();
    }

    /** Takes the roles that it told on a connection. */
    void greeted(PeerChannel from, PeerNews.Hello hello) {
        if (inbound != null && inbound != from) {
            inbound.close();
        }
        inbound = from;
        role = hello.role();
        wantsParts |= hello.wantsParts();
    }

    /** Whether news of it can arrive. */
    boolean isConnected() {
        return inbound != null || isThroughRelay;
    }

    PeerChannel inbound() {
        return inbound;
    }

    /** News of it came, directly or through a relay. */
    void noteHeard(long now) {
        heardAt = now;
    }

    /** Something came on the connection over which it speaks. */
    void noteInbound(long now) {
        inboundAt = now;
    }

    long inboundAt() {
        return inboundAt;
    }

    long heardAt() {
        return heardAt;
    }

    PeerChannel outbound() {
        return outbound;
    }

    void opened(PeerChannel channel, LinkRole told, long now) {
        outbound = channel;
        toldRole = told;
        answeredAt = now;
        nextDialAt = now;
        dialPauseNanos = 0;
    }

    void closeOutbound() {
        if (outbound != null) {
            outbound.close();
            outbound = null;
        }
    }

    /** A connection ended. */
    void closed(PeerChannel gone) {
        if (inbound == gone) {
            inbound = null;
            role = LinkRole.UNKNOWN;
        }
        if (outbound == gone) {
            outbound = null;
        }
    }

    void noteAnswered(long now) {
        answeredAt = now;
    }

    long answeredAt() {
        return answeredAt;
    }

    boolean isReady() {
        return isReady;
    }

    /** What it is to this host, as it told last. */
    LinkRole role() {
        return role;
    }

    /** What it was told last that this host is to it. */
    LinkRole toldRole() {
        return toldRole;
    }

    void setToldRole(LinkRole told) {
        toldRole = told;
    }

    /** Whether it may be tried now: it has not failed just before. */
    boolean mayBeTried(long now) {
        return outbound != null || isDialing || now >= nextDialAt;
    }

    boolean isDialing() {
        return isDialing;
    }

    void beginDialing(long now) {
        isDialing = true;
        dialPauseNanos = Math.clamp(dialPauseNanos * 2, FIRST_DIAL_PAUSE_NANOS, MOST_DIAL_PAUSE_NANOS);
        nextDialAt = now + dialPauseNanos;
    }

    void endDialing() {
        isDialing = false;
    }

    /** Whether its connection has not been needed for a while. */
    boolean isLongUnneeded(boolean isNeeded, long now) {
        unneededSince = isNeeded ? Long.MAX_VALUE : Math.min(unneededSince, now);
        return !isNeeded && now - unneededSince > UNNEEDED_NANOS;
    }

    /** Whether its work is part of the fleet's load. */
    boolean isCounted() {
        return isCounted;
    }

    void setCounted(boolean counted) {
        isCounted = counted;
    }

    /** Whether it asked what the runners keep, and wasn't told; it is told once. */
    boolean takeWantsParts() {
        boolean wanted = wantsParts;
        wantsParts = false;
        return wanted;
    }

    /** Up to which revisions it knows the store. */
    Map<ObjectKind, Long> completeTo() {
        return completeTo;
    }

    boolean hasStore() {
        return hasStore;
    }

    /** For how long it has lacked objects that this host knows. */
    long lackingFor(boolean isLacking, long now) {
        lackingSince = isLacking ? Math.min(lackingSince, now) : Long.MAX_VALUE;
        return isLacking ? now - lackingSince : 0;
    }

    long toldObjectsAt() {
        return toldObjectsAt;
    }

    void noteToldObjects(long now) {
        toldObjectsAt = now;
    }
}
