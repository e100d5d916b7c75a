package org.mangowall.edge.decision;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.mangowall.edge.model.HostRecord;

/**
 * Selects the hosts whose addresses a caller gets; it opens each connection to any one of them.
 *
 * <p>The load that this answers: the callers of a busy workspace all choose the same one or two of the addresses that
 * they get, so that these hosts are crowded while others idle. Each caller gets a sample of its own, which changes only
 * with the fleet and its load. A sample contains large hosts and hosts of the caller's availability zone more often,
 * and those with more open requests than others less often. A small fleet is selected as a whole.
 */
public final class EntryHostSelection {

    /** Callers accept at most this many addresses. */
    private static final int MAX_ADDRESSES = 64;
    /** With fewer addresses, a caller may lose all its hosts when several fail at the same time. */
    private static final int MIN_ADDRESSES = 8;
    /** Up to this size all hosts are selected: a smaller sample would hardly spread the callers. */
    private static final int SMALL_FLEET_HOSTS = 12;
    /** Fraction of the hosts in a sample; a larger one would contain small hosts too often. */
    private static final double SAMPLE_FRACTION = 0.3;
    /** Factor for the weight of hosts in the caller's availability zone. */
    private static final double OWN_ZONE_WEIGHT = 3;
    /** Open requests per processor of a host that isn't crowded, however idle the others are. */
    private static final double UNCROWDED_REQUESTS = 20;
    /** Factor for the weight of the most crowded hosts; they still get callers, so that their load is known. */
    private static final double MIN_ROOM_WEIGHT = 0.1;

    private EntryHostSelection() {}

    /**
     * A host that accepts requests.
     *
     * @param host the host
     * @param openRequests its requests in progress, as last reported
     */
    public record Candidate(HostRecord host, int openRequests) {

        private double processors() {
            return host.processors() > 0 ? host.processors() : 1;
        }

        private double requestsPerProcessor() {
            return openRequests / processors();
        }
    }

    /**
     * Returns the addresses of the selected hosts.
     *
     * @param callerZone the caller's availability zone
     * @param caller identity of the caller, which decides about its sample
     */
    public static List<String> select(Collection<Candidate> ready, String callerZone, String caller) {
        int sampleSize = sampleSize(ready);
        if (sampleSize == ready.size()) {
            return addresses(List.copyOf(ready));
        }
        double meanRequests = ready.stream().mapToInt(Candidate::openRequests).sum()
                / ready.stream().mapToDouble(Candidate::processors).sum();
        return addresses(ready.stream()
                .map(candidate -> new Ranked(candidate, rank(candidate, callerZone, caller, meanRequests)))
                .sorted(Comparator.comparingDouble(Ranked::rank).reversed())
                .limit(sampleSize)
                .map(Ranked::candidate)
                .toList());
    }

    private static List<String> addresses(List<Candidate> selected) {
        return selected.stream()
                .map(candidate -> candidate.host().callerAddress())
                .toList();
    }

    private static int sampleSize(Collection<Candidate> ready) {
        boolean isUnequal =
                ready.stream().mapToDouble(Candidate::processors).distinct().count() > 1;
        if (!isUnequal && ready.size() <= SMALL_FLEET_HOSTS) {
            return ready.size();
        }
        int share = (int) Math.ceil(ready.size() * SAMPLE_FRACTION);
        return Math.min(ready.size(), Math.clamp(share, MIN_ADDRESSES, MAX_ADDRESSES));
    }

    /** Weighted rendezvous hashing: the hosts with the greatest ranks are a random sample by weight. */
    private static double rank(Candidate candidate, String callerZone, String caller, double meanRequests) {
        double zoneWeight = candidate.host().zone().equals(callerZone) ? OWN_ZONE_WEIGHT : 1;
        double weight = candidate.processors() * zoneWeight * roomWeight(candidate, meanRequests);
        return Math.log(Rendezvous.fraction(caller, candidate.host().name())) / weight;
    }

    private static double roomWeight(Candidate candidate, double meanRequests) {
        double relative = (meanRequests + UNCROWDED_REQUESTS) / (candidate.requestsPerProcessor() + UNCROWDED_REQUESTS);
        return Math.clamp(relative, MIN_ROOM_WEIGHT, 1);
    }

    /** A host with its rank in the order of a caller. */
    private record Ranked(Candidate candidate, double rank) {}
}
