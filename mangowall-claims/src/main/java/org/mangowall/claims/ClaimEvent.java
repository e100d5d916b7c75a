package org.mangowall.claims;

import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.platform.VersionedObject;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.StoredAnswer;

/** Something that a claims core learns. */
public sealed interface ClaimEvent {

    /** An entry asks for a key; it asks one holder only, and once. */
    record ClaimRequested(RequestIdentifier request, String keyDigest, String requestDigest) implements ClaimEvent {}

    /**
     * An entry tells how a request ended, or that it does not want its claim any more.
     *
     * @param ran false only when the request has not run and never will
     */
    record ClaimSettled(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredAnswer> answer)
            implements ClaimEvent {}

    /** The object of a partition was read. */
    record ObjectRead(int partition, Optional<VersionedObject> object) implements ClaimEvent {}

    /** The object of a partition could not be read. */
    record ReadFailed(int partition) implements ClaimEvent {}

    /** The object of a partition was written. */
    record ObjectWritten(int partition, long version) implements ClaimEvent {}

    /** The object of a partition was not written, or nobody knows. */
    record WriteFailed(int partition, FailureCode code) implements ClaimEvent {}

    /** The view of the fleet changed. */
    record FleetChanged(FleetView view) implements ClaimEvent {}

    /** Time has passed. */
    record ClockTicked() implements ClaimEvent {}
}
