package org.mangowall.edge.overload;

/**
 * Divides the descriptors of a host between callers' connections and everything else.
 *
 * @param limit how many descriptors the process may have
 * @param hosts the number of hosts, including this one
 * @param runnerConnections how many connections to runners are of use to this host
 */
public record DescriptorBudget(int limit, int hosts, int runnerConnections) {

    /** How many connections beyond the limit one turn of the event loop accepts, before others are closed. */
    public static final int ACCEPTED_AT_LIMIT = 64;

    /** Libraries, the archive of classes and the runtime; the users' platform sets as many aside. */
    private static final int FILES = 200;
    /** Sockets that listen, and what the event loop and the output use. */
    private static final int OWN = 16;
    /** Three watches, lists and the host's own entry, and as many again while silent connections are replaced. */
    private static final int STORE = 16;
    /** One in each direction, and as many again while silent ones are replaced. */
    private static final int CONNECTIONS_PER_HOST = 4;
    /** However little there is, callers get this part. */
    private static final double CALLERS_FRACTION = 0.25;

    /** Returns how many connections of callers leave enough for everything else. */
    public int callerConnections() {
        int shared = limit - FILES - OWN - STORE - ACCEPTED_AT_LIMIT - CONNECTIONS_PER_HOST * hosts;
        // A request takes one connection of its caller and one to a runner.
        int forRunners = Math.min(runnerConnections, shared / 2);
        return Math.max((int) (limit * CALLERS_FRACTION), shared - forRunners);
    }
}
