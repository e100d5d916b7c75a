package org.mangowall.protocol.operator;

import java.util.List;

/**
 * The status of one router and its view of the fleet, for operators.
 *
 * @param router its name
 * @param zone its availability zone
 * @param incarnation a number that increases with each start of the process
 * @param state {@code alive} or {@code leaving}
 * @param ready whether it accepts requests
 * @param configurationVersion the version of the inventory in force; 0 if there is none yet
 * @param members all routers that it knows, including itself
 * @param runners the runners whose home it is
 * @param services its view of the services
 * @param shares its fair-share accounting by service and workspace
 */
public record RouterStatusDocument(
        String router,
        String zone,
        long incarnation,
        String state,
        boolean ready,
        long configurationVersion,
        List<Member> members,
        List<Runner> runners,
        List<Service> services,
        List<Share> shares) {

    /** Copies the lists; a missing list becomes empty. */
    public RouterStatusDocument {
        members = copyOf(members);
        runners = copyOf(runners);
        services = copyOf(services);
        shares = copyOf(shares);
    }

    private static <T> List<T> copyOf(List<T> elements) {
        return elements == null ? List.of() : List.copyOf(elements);
    }

    /** Writes the document as JSON. */
    public byte[] toJson() {
        return OperatorJson.write(this);
    }

    /**
     * Reads a document from JSON.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when the content is not such a document
     */
    public static RouterStatusDocument parse(byte[] content) {
        return OperatorJson.read(content, RouterStatusDocument.class);
    }

    /**
     * A router as seen by another.
     *
     * @param name the router
     * @param zone its availability zone
     * @param incarnation the newest known incarnation
     * @param state {@code alive}, {@code suspect}, {@code leaving} or {@code dead}
     * @param callerAddress the address that it offers to callers
     */
    public record Member(String name, String zone, long incarnation, String state, String callerAddress) {}

    /**
     * A runner as seen by its home router.
     *
     * @param name the runner
     * @param service its service
     * @param zone its availability zone
     * @param limit its current limit of concurrent requests
     * @param running the requests that its home has sent and that have not ended yet
     * @param reported the running requests in its last report
     * @param open whether it may receive new requests
     */
    public record Runner(
            String name, String service, String zone, int limit, int running, int reported, boolean open) {}

    /**
     * A service as seen by one router.
     *
     * @param name the service
     * @param freeSlots the free slots at this router
     * @param waiting the requests queued at this router
     * @param gap the fairness gap that it sees, in cost units divided by weight
     * @param gapBound the current bound of the gap
     */
    public record Service(String name, int freeSlots, int waiting, double gap, double gapBound) {}

    /**
     * A workspace's share of one service.
     *
     * @param service the service
     * @param workspace the workspace
     * @param weight its weight
     * @param waitingHere its requests queued at this router
     * @param waitingFleet its requests queued at all routers, as far as known
     * @param served the cost that the fleet has charged to it, divided by its weight, as far as known
     */
    public record Share(
            String service, String workspace, double weight, int waitingHere, int waitingFleet, double served) {}
}
