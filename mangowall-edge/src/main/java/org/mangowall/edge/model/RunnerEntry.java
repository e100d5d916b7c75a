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
        Duration coldLeft) {

    /** Whether the other entry describes the same incarnation, that is, process start, of the same runner. */
    public boolean isSameIncarnation(RunnerEntry other) {
        return identifier.equals(other.identifier)
                && startedAtMillis == other.startedAtMillis
                && softwareVersion.equals(other.softwareVersion)
                && address.equals(other.address)
                && service.equals(other.service);
    }
}
