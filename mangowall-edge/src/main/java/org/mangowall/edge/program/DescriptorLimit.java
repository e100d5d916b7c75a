package org.mangowall.edge.program;

import java.lang.management.ManagementFactory;

import com.sun.management.UnixOperatingSystemMXBean;

/** Finds how many descriptors the process may have. */
final class DescriptorLimit {

    private DescriptorLimit() {}

    /** Returns what the settings state, or else the limit of the operating system, if it has one. */
    static int of(EdgeSettings settings) {
        if (settings.descriptors() > 0) {
            return settings.descriptors();
        }
        if (ManagementFactory.getOperatingSystemMXBean() instanceof UnixOperatingSystemMXBean system
                && system.getMaxFileDescriptorCount() > 0) {
            return (int) Math.min(Integer.MAX_VALUE, system.getMaxFileDescriptorCount());
        }
        return Integer.MAX_VALUE;
    }
}
