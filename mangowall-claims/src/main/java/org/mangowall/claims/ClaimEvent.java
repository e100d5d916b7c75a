package org.mangowall.claims;

import java.util.Optional;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.name.RequestIdentifier;
import org.mangowall.platform.VersionedObject;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.protocol.StoredResponse;

/** An input of {@link ClaimsCore}. */
public sealed interface ClaimEvent {

    /** An entry router requests a key; it sends each request once, to a single holder of the partition. */
    record ClaimRequested(RequestIdentifier request, String keyDigest, String requestDigest) implements ClaimEvent {}

    /**
     * An entry router reports how a request ended, or withdraws its claim.
     *
     * @param ran false only if the request has not run and never will
     * @param answer the answer of a completed request; empty when the outcome is unknown or the request did not run
     */
    record ClaimSettled(RequestIdentifier request, String keyDigest, boolean ran, Optional<StoredResponse> answer)
            implements ClaimEvent {}

    /** The object of a partition was read. */
    record ObjectRead(int partition, Optional<VersionedObject> object) implements ClaimEvent {}

    /** The object of a partition could not be read. */
    record ReadFailed(int partition) implements ClaimEvent {}

    /** The object of a partition was written. */
    record ObjectWritten(int partition, long version) implements ClaimEvent {}

    /** The write of a partition failed, or its outcome is unknown. */
    record WriteFailed(int partition, FailureCode code) implements ClaimEvent {}

    /** The view of the fleet changed. */
    record FleetChanged(FleetView view) implements ClaimEvent {}

    /** Time has passed. */
    record ClockTicked() implements ClaimEvent {}
}
