package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RunnerEntry;

/**
 * Finds prompt parts that crash runners, from the runs of all hosts, and quarantines them.
 *
 * <p>A crash ends all requests of a runner, so most of the parts that it is seen with are sound. A part is quarantined
 * after several lost runs in a row, each sent after the one before was lost, and to another incarnation of a runner. A
 * complete run clears the part. The last part of a prompt belongs to one request or session and isn't judged.
 */
final class PartQuarantine {

    /** A sound part nearly always has a complete run among this many independent ones. */
    private static final int MIN_LOST_RUNS = 3;
    /** Losses at one host only may be caused by the network of that host. */
    private static final int MIN_HOSTS = 2;
    /** Long enough to spare the runners of a fleet, short enough for a part that is judged wrongly. */
    private static final long DURATION_NANOS = 300_000_000_000L;
    /** Upper bound of the age of another host's report, by which its requests may have been sent earlier. */
    private static final long MAX_REPORT_DELAY_NANOS = 300_000_000L;
    /** Parts of lost runs that are remembered; the oldest are forgotten first. */
    private static final int MAX_SUSPECTS = 4_096;

    private final String self;
    /** The parts of runs that were lost since their last complete run. */
    private final Map<Long, Suspect> suspects = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Suspect> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };
    /** When the quarantine of each part ends; a part stays here until a complete run clears it. */
    private final Map<Long, Long> endByPart = new HashMap<>();

    private final List<Long> newlyQuarantined = new ArrayList<>();

    PartQuarantine(String self) {
        this.self = self;
    }

    /** The lost runs of a part since its last complete run. */
    private static final class Suspect {
        private final Set<String> hosts = new HashSet<>();
        private int lostRuns;
        private long lastLostAt;
        private RunnerEntry lastRunner;

        /** Counts a lost run unless it may have been lost for the same reason as the one before. */
        void recordLost(String host, RunnerEntry runner, long sentAt, long now) {
            boolean isIndependent = lostRuns == 0 || sentAt > lastLostAt && !runner.isSameIncarnation(lastRunner);
            if (isIndependent) {
                lostRuns += 1;
                hosts.add(host);
                lastLostAt = now;
                lastRunner = runner;
            }
        }
    }

    /**
     * Records that the connection to a runner was lost during a run.
     *
     * @param host the host that sent the request
     * @param hostCount the number of hosts that take requests
     */
    void recordLost(InFlightRequest request, String host, int hostCount, long now) {
        long reportDelay = host.equals(self) ? 0 : MAX_REPORT_DELAY_NANOS;
        for (PromptPart part : judged(request.sent().parts())) {
            Suspect suspect = suspects.computeIfAbsent(part.identifier(), unknown -> new Suspect());
            suspect.recordLost(host, request.runner().entry(), request.sentAt() - reportDelay, now);
            boolean isConvicted =
                    suspect.lostRuns >= MIN_LOST_RUNS && suspect.hosts.size() >= Math.min(MIN_HOSTS, hostCount);
            if (isConvicted || endByPart.containsKey(part.identifier())) {
                begin(part.identifier(), now + DURATION_NANOS, now);
            }
        }
    }

    private void begin(long part, long end, long now) {
        if (!isQuarantined(part, now)) {
            newlyQuarantined.add(part);
        }
        endByPart.merge(part, end, Math::max);
    }

    private boolean isQuarantined(long part, long now) {
        Long end = endByPart.get(part);
        return end != null && end > now;
    }

    /** Records a complete run, which shows that none of its parts crashes runners. */
    void recordComplete(InFlightRequest request) {
        for (PromptPart part : judged(request.sent().parts())) {
            suspects.remove(part.identifier());
            endByPart.remove(part.identifier());
        }
    }

    /** Adopts a quarantine of another host, unless the part is in quarantine here. */
    void adopt(LoadEvent.PartQuarantined quarantined, long now) {
        if (!isQuarantined(quarantined.part(), now)) {
            begin(quarantined.part(), now + quarantined.remainingNanos(), now);
        }
    }

    /** Returns how long a prompt must not be sent to runners, in nanoseconds; empty if it may be sent. */
    Optional<Long> remainingNanos(List<PromptPart> parts, long now) {
        if (endByPart.isEmpty()) {
            return Optional.empty();
        }
        return judged(parts).stream()
                .map(PromptPart::identifier)
                .filter(part -> isQuarantined(part, now))
                .map(part -> endByPart.get(part) - now)
                .max(Long::compare);
    }

    /** Returns all quarantined parts, for other hosts. */
    List<LoadEvent.PartQuarantined> quarantined(long now) {
        return endByPart.entrySet().stream()
                .filter(part -> part.getValue() > now)
                .map(part -> new LoadEvent.PartQuarantined(part.getKey(), part.getValue() - now))
                .toList();
    }

    /** Returns and clears the parts whose quarantine began since the last call. */
    List<Long> takeNewlyQuarantined() {
        List<Long> parts = List.copyOf(newlyQuarantined);
        newlyQuarantined.clear();
        return parts;
    }

    private static List<PromptPart> judged(List<PromptPart> parts) {
        return parts.isEmpty() ? parts : parts.subList(0, parts.size() - 1);
    }
}
