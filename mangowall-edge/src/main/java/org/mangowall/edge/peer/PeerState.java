package org.mangowall.edge.peer;

import java.util.Map;

import org.mangowall.edge.model.HostRecord;
import org.mangowall.edge.wire.ObjectKind;

/** What this host knows of another: the connection over which it hears it, and the one over which it speaks. */
final class PeerState {

    private HostRecord host;
    private PeerChannel inbound;
    private PeerChannel outbound;
    private boolean isReady;
    private boolean hasStore = true;
    private Map<ObjectKind, Long> completeTo = Map.of();
    private long lackingSince = Long.MAX_VALUE;
    private boolean isDialing;
    private boolean isCounted;
    private boolean wantsParts;
    private long heardAt;
    private long answeredAt;
    private long nextDialAt;
    private long dialPauseNanos;
    private long toldObjectsAt;

    PeerState(HostRecord host) {
        this.host = host;
    }

    HostRecord host() {
        return host;
    }

    void setHost(HostRecord other) {
        host = other;
    }

    PeerChannel inbound() {
        return inbound;
    }

    void setInbound(PeerChannel channel, long now) {
        inbound = channel;
        heardAt = now;
    }

    void noteHeard(long now) {
        heardAt = now;
    }

    long heardAt() {
        return heardAt;
    }

    PeerChannel outbound() {
        return outbound;
    }

    void setOutbound(PeerChannel channel, long now) {
        outbound = channel;
        answeredAt = now;
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

    void setReady(boolean ready) {
        isReady = ready;
    }

    boolean isDialing() {
        return isDialing;
    }

    void setDialing(boolean dialing) {
        isDialing = dialing;
    }

    /** Whether its work is part of the fleet's load. */
    boolean isCounted() {
        return isCounted;
    }

    void setCounted(boolean counted) {
        isCounted = counted;
    }

    /** Whether it asked what the runners keep, and wasn't told. */
    boolean wantsParts() {
        return wantsParts;
    }

    void setWantsParts(boolean wants) {
        wantsParts = wants;
    }

    long nextDialAt() {
        return nextDialAt;
    }

    void setNextDial(long at, long pauseNanos) {
        nextDialAt = at;
        dialPauseNanos = pauseNanos;
    }

    long dialPauseNanos() {
        return dialPauseNanos;
    }

    void setCompleteTo(Map<ObjectKind, Long> newCompleteTo) {
        completeTo = newCompleteTo;
    }

    /** Up to which revisions it knows the store. */
    Map<ObjectKind, Long> completeTo() {
        return completeTo;
    }

    boolean hasStore() {
        return hasStore;
    }

    void setHasStore(boolean has) {
        hasStore = has;
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
