package org.mangowall.edge.traffic;

import java.util.Optional;

import org.mangowall.edge.decision.FleetLoad;
import org.mangowall.edge.decision.StreamOrigin;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RunnerEntry;

/** Where a stream began and how far its caller has received it, which decides where it may go on. */
final class StreamPosition {

    private final String beginningRequest;
    private final Optional<String> resumedRequest;
    private final boolean isTakenUp;
    private Optional<String> lastEvent;
    private Optional<StreamOrigin> origin = Optional.empty();
    private boolean hasForwardedIdentifier;

    StreamPosition(CallerRequest request) {
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

    StreamOrigin originAt(RunnerEntry runner) {
        return new StreamOrigin(beginningRequest, runner.service(), runner.softwareVersion());
    }

    /** Records that a part was forwarded, which binds the stream to its runner's service and software version. */
    void forwardedFrom(RunnerEntry runner) {
        if (origin.isEmpty()) {
            origin = Optional.of(originAt(runner));
        }
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
