package org.mangowall.edge.model;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * A runner as listed by the platform.
 *
 * @param identifier identifies one start of a runner, or a runner across starts if {@code startedAtMillis} is set
 * @param startedAtMillis start time in Unix milliseconds; 0 when the runner doesn't state it
 * @param service the service to which it belongs
 * @param address the address at which it accepts requests
 * @param zone its availability zone
 * @param slots how many requests it runs concurrently
 * @param isLeaving whether it is draining and accepts no more requests
 * @param coldLeft remaining time for which it is cold, as of the entry's last change
 */
public record RunnerEntry(
        String identifier,
        long startedAtMillis,
        String service,
        InetSocketAddress address,
        String zone,
        int slots,
        boolean isLeaving,
        Duration coldLeft) {

    /** Whether the other entry describes the same start of the same runner. */
    public boolean isSameStart(RunnerEntry other) {
        return identifier.equals(other.identifier)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address)
                && service.equals(other.service);
    }
}
