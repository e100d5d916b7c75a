package org.mangowall.edge.model;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * A runner as listed by the platform.
 *
 * @param identifier identifies one incarnation of a runner, or all its incarnations if {@code startedAtMillis} is set
 * @param startedAtMillis start time in Unix milliseconds; 0 when the runner doesn't state it
 * @param service the service to which it belongs
 * @param softwareVersion the version of its software, not of the model that it serves; empty when it isn't stated
 * @param address the address at which it accepts requests
 * @param zone its availability zone
 * @param slots how many requests it runs concurrently
 * @param isDraining whether it finishes its requests and accepts no more
 * @param coldLeft remaining time for which it is cold, as of the entry's last change
 * @param sequence the number of the entry among those that this incarnation wrote; 0 when the runner doesn't state it
 */
public record RunnerEntry(
        String identifier,
        long startedAtMillis,
        String service,
        String softwareVersion,
        InetSocketAddress address,
        String zone,
        int slots,
        boolean isDraining,
        Duration coldLeft,
        long sequence) {

    /** Creates an entry without a sequence number. */
    public RunnerEntry(
            String identifier,
            long startedAtMillis,
            String service,
            String softwareVersion,
            InetSocketAddress address,
            String zone,
            int slots,
            boolean isDraining,
            Duration coldLeft) {
        this(identifier, startedAtMillis, service, softwareVersion, address, zone, slots, isDraining, coldLeft, 0);
    }

    /**
     * Whether the other entry was written later by the same incarnation. Without a start time, a restart under the same
     * identifier can't be told from it, so no order is known.
     */
    public boolean isOlderThan(RunnerEntry other) {
        return startedAtMillis > 0 && isSameIncarnation(other) && sequence > 0 && sequence < other.sequence;
    }

    /** Whether the other entry describes the same incarnation, that is, process start, of the same runner. */
    public boolean isSameIncarnation(RunnerEntry other) {
        return identifier.equals(other.identifier)
                && startedAtMillis == other.startedAtMillis
                && softwareVersion.equals(other.softwareVersion)
                && address.equals(other.address)
                && service.equals(other.service);
    }
}
