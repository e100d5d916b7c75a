package org.mangowall.edge.wire;

import java.time.Duration;
import java.util.List;
import java.util.Optional;

/** The calls by which callers and the platform ask a host about the fleet. */
public interface DirectoryCodec {

    /** Decodes a call by its target; empty when the target names no call. */
    Optional<DirectoryCall> readCall(String target);

    /** The body that names the addresses to use and how long the answer may be kept. */
    byte[] addresses(List<String> callerAddresses, Duration keepFor);

    /** What a caller or the platform asks. */
    sealed interface DirectoryCall {

        /**
         * Which addresses to use.
         *
         * @param zone the caller's availability zone; empty when it doesn't say
         */
        record EntryHosts(String zone) implements DirectoryCall {}

        /** Whether the host takes requests. */
        record Readiness() implements DirectoryCall {}
    }
}
