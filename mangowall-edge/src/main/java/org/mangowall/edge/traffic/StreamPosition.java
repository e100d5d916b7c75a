package org.mangowall.edge.traffic;

import java.util.Optional;

import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.StreamOrigin;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.RequestKind;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RunnerEntry;

/** Where a stream began and how far its caller has received it, which decides where it may go on. */
final class StreamPosition {

    private final String beginningRequest;
    private final Optional<String> resumedRequest;
    private final boolean isTakenUp;
    private final boolean isResumable;
    private Optional<String> lastEvent;
    private Optional<StreamOrigin> origin = Optional.empty();
    private boolean hasForwardedIdentifier;

    StreamPosition(CallerRequest request, RequestKind kind) {
        isResumable = kind == RequestKind.RESUMABLE_STREAM;
        lastEvent = request.lastEventId();
        isTakenUp = lastEvent.isPresent();
        resumedRequest = isTakenUp ? request.resumedRequest() : Optional.empty();
        beginningRequest = resumedRequest.orElse(request.identifier());
    }

    /** Determines the origin of a stream that the caller takes up; returns false if it isn't known. */
    boolean findOrigin(FleetLoad fleet, Route route, long now) {
        if (isTakenUp) {
            origin = fleet.originOf(resumedRequest, route, now);
        }
        return !isTakenUp || origin.isPresent();
    }

    /** Identifier of the caller's request that began the stream. */
    String beginningRequest() {
        return beginningRequest;
    }

    /** Identifier of the event after which the stream goes on; empty for one that begins. */
    Optional<String> lastEvent() {
        return lastEvent;
    }

    /** Where the stream began; empty until it has brought an event. */
    Optional<StreamOrigin> origin() {
        return origin;
    }

    /**
     * Records that a part was forwarded, which binds the stream to its runner's service and software version.
     *
     * @return the origin if this part began a stream that its caller may take up
     */
    Optional<StreamOrigin> forwardedFrom(RunnerEntry runner) {
        if (origin.isPresent()) {
            return Optional.empty();
        }
        origin = Optional.of(new StreamOrigin(beginningRequest, runner.service(), runner.softwareVersion()));
        return resumableOrigin();
    }

    /** Where the stream began; empty until it has brought an event, and if no caller may take it up. */
    Optional<StreamOrigin> resumableOrigin() {
        return origin.filter(known -> isResumable);
    }

    void recordLastEvent(String identifier) {
        lastEvent = Optional.of(identifier);
        hasForwardedIdentifier = true;
    }

    /** Whether an event with an identifier was forwarded, after which another run can go on. */
    boolean hasForwardedIdentifier() {
        return hasForwardedIdentifier;
    }
}
