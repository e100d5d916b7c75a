package org.mangowall.protocol.operator;

import java.util.List;

/**
 * What one router tells operators about itself and about the fleet as it sees it.
 *
 * @param router its name
 * @param zone its availability zone
 * @param incarnation grows with each start of the process
 * @param state {@code alive} or {@code leaving}
 * @param ready whether it takes requests
 * @param configurationVersion the version of the inventory in force; 0 when there is none yet
 * @param members all routers that it knows of, itself included
 * @param runners the runners of which it is home
 * @param services the services as it sees them
 * @param shares the workspaces by service as it accounts for them
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

    /** Copies the lists; one that is missing is empty. */
    public RouterStatusDocument {
        members = copyOf(members);
        runners = copyOf(runners);
        services = copyOf(services);
        shares = copyOf(shares);
    }

    private static <T> List<T> copyOf(List<T> elements) {
        return elements == null ? List.of() : List.copyOf(elements);
    }

    /** Writes the document. */
    public byte[] toJson() {
        return OperatorJson.write(this);
    }

    /**
     * Reads a document.
     *
     * @throws org.mangowall.kernel.failure.MangowallException when it is not one
     */
    public static RouterStatusDocument parse(byte[] content) {
        return OperatorJson.read(content, RouterStatusDocument.class);
    }

    /**
     * A router as another sees it.
     *
     * @param name the router
     * @param zone its availability zone
     * @param incarnation the newest that is known
     * @param state {@code alive}, {@code suspect}, {@code leaving} or {@code dead}
     * @param callerAddress where callers reach it
     */
    public record Member(String name, String zone, long incarnation, String state, String callerAddress) {}

    /**
     * A runner at its home.
     *
     * @param name the runner
     * @param service its service
     * @param zone its availability zone
     * @param limit the requests that it may have at once now
     * @param running the requests that its home has sent and that have not ended
     * @param reported the requests that it last reported as running
     * @param open whether it may get new work
     */
    public record Runner(
            String name, String service, String zone, int limit, int running, int reported, boolean open) {}

    /**
     * A service as one router sees it.
     *
     * @param name the service
     * @param freeSlots the free slots at this router
     * @param waiting the requests that wait at this router
     * @param gap the fairness gap that it sees, in cost units by weight
     * @param gapBound the bound of the gap now
     */
    public record Service(String name, int freeSlots, int waiting, double gap, double gapBound) {}

    /**
     * A workspace's account for one service.
     *
     * @param service the service
     * @param workspace the workspace
     * @param weight its weight
     * @param waitingHere its requests that wait at this router
     * @param waitingFleet its requests that wait anywhere, as far as known
     * @param served the cost divided by weight that the fleet has charged, as far as known
     */
    public record Share(
            String service, String workspace, double weight, int waitingHere, int waitingFleet, double served) {}
}
