package org.mangowall.edge.model;

import java.net.InetSocketAddress;
import java.time.Duration;

/**
 * What the platform lists of a runner.
 *
 * @param identifier names one start of a runner, unless {@code startedAtMillis} tells starts apart
 * @param startedAtMillis the Unix millisecond of its start; 0 when the runner doesn't say
 * @param service the service to which it belongs
 * @param address where it takes requests
 * @param zone its availability zone
 * @param slots how many requests it runs at once
 * @param isLeaving whether it takes no more work
 * @param coldLeft how much longer it is cold, as of the entry's last change
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

    /** Whether the other entry speaks of the same start of the same runner. */
    public boolean isSameStart(RunnerEntry other) {
        return identifier.equals(other.identifier)
                && startedAtMillis == other.startedAtMillis
                && address.equals(other.address)
                && service.equals(other.service);
    }
}
