package org.mangowall.edge.wire;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The format of the HTTP calls by which callers and the platform query a host about the fleet. */
public interface DirectoryCodec {

    /** Decodes a call from its request target; empty if the target is unknown. */
    Optional<DirectoryCall> readCall(String target);

    /** Encodes a response body with the addresses to use and how long the response may be cached. */
    byte[] addresses(List<String> callerAddresses, Duration cacheTime);

    /** A query of a caller or the platform. */
    sealed interface DirectoryCall {

        /**
         * Queries the addresses of the hosts to use.
         *
         * @param zone the caller's availability zone; empty if unknown
         */
        record EntryHosts(String zone) implements DirectoryCall {}

        /** Queries whether the host accepts requests. */
        record Readiness() implements DirectoryCall {}
    }
}
