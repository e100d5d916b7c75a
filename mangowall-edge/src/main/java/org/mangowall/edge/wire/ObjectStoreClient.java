package org.mangowall.edge.wire;

import java.time.Duration;
import java.util.List;
import java.util.function.Consumer;

/** The calls of the platform's store. Each call ends with one outcome, given on the thread of the data path. */
public interface ObjectStoreClient {

    /**
     * Lists a page of a kind.
     *
     * @param afterName the last name of the page before; empty for the first page
     * @param mayBeStale whether an answer that is seconds old will do
     */
    void list(ObjectKind kind, String afterName, boolean mayBeStale, Consumer<StoreOutcome> receiver);

    /** Waits for changes after a revision. */
    void watch(ObjectKind kind, long afterRevision, Duration wait, Consumer<StoreOutcome> receiver);

    /**
     * Creates or replaces an object whatever it was before.
     *
     * @param isProbablyNew which of the two is tried first
     */
    void put(ObjectKind kind, String name, byte[] content, boolean isProbablyNew, Consumer<StoreOutcome> receiver);

    /** How a call ended. */
    sealed interface StoreOutcome {

        /**
         * A page of objects.
         *
         * @param objects the objects
         * @param nextAfter the name to continue after; empty when the list is complete
         * @param asOf the store's revision of the answer
         */
        record Page(List<StoredObject> objects, String nextAfter, long asOf) implements StoreOutcome {}

        /**
         * Changes since the revision; none when the wait ended.
         *
         * @param objects the objects as they are now, or deleted
         * @param asOf the revision from which to go on
         */
        record Changes(List<StoredObject> objects, long asOf) implements StoreOutcome {}

        /** The write took effect. */
        record Written() implements StoreOutcome {}

        /** The history since the revision is no longer kept. */
        record HistoryGone() implements StoreOutcome {}

        /**
         * The store answered, but not with what was asked.
         *
         * @param status the HTTP status
         */
        record Refused(int status) implements StoreOutcome {}

        /**
         * No usable answer came; a write may have taken effect.
         *
         * @param reason what happened
         */
        record Lost(String reason) implements StoreOutcome {}
    }
}
