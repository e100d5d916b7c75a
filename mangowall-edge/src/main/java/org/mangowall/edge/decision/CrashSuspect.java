package org.mangowall.edge.decision;

import org.mangowall.kernel.failure.FailureCode;

/** What several lost runs have in common and may have crashed their runners. */
public sealed interface CrashSuspect {

    /** The identifier by which logs name it. */
    long identifier();

    /** The reason for rejecting requests while it is in quarantine. */
    FailureCode rejection();

    /**
     * A part of a prompt, which several requests share.
     *
     * @param identifier the identifier of the part
     */
    record Part(long identifier) implements CrashSuspect {

        @Override
        public FailureCode rejection() {
            return FailureCode.PROMPT_PART_QUARANTINED;
        }
    }

    /**
     * A request with all its repeats.
     *
     * @param identifier the fingerprint that the repeats share
     */
    record Request(long identifier) implements CrashSuspect {

        @Override
        public FailureCode rejection() {
            return FailureCode.REQUEST_QUARANTINED;
        }
    }
}
