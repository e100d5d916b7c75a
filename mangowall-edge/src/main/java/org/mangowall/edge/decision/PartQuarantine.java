package org.mangowall.edge.decision;

import java.util.ArrayList;
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
 * after several lost runs in a row, each at another incarnation of a runner than the one before and sent after that one was lost, without
 * a complete run in between. A complete run clears the part. The last part of a prompt belongs to one request or
 * session and isn't judged.
 */
final class PartQuarantine {

    /** A part that isn't involved survives one of this many independent runs nearly always. */
    private static final int MIN_LOST_RUNS = 3;
    /** With losses at one host only, the network of that host may be the cause. */
    private static final int MIN_HOSTS = 2;
    /** Long enough to spare the runners of a fleet, short enough for a part that is judged wrongly. */
    private static final long DURATION_NANOS = 300_000_000_000L;
    /** Upper bound of the age of another host's report, by which its requests may have been sent earlier. */
    private static final long MAX_REPORT_DELAY_NANOS = 300_000_000L;
    /** Parts of lost runs that are remembered; the oldest are forgotten first. */
    private static final int MAX_RECORDS = 4_096;

    private final String self;
    private final Map<Long, Record> records = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<Long, Record> eldest) {
            return size() > MAX_RECORDS;
        }
    };

    private final List<Long> newlyQuarantined = new ArrayList<>();

    PartQuarantine(String self) {
        this.self = self;
    }

    /** What is known of a part since its last complete run. */
    private static final class Record {
        private final Set<String> hosts = new HashSet<>();
        private int lostRuns;
        private long lastLostAt = Long.MIN_VALUE;
        /** The incarnation of a runner that was lost last. */
        private RunnerEntry lastRunner;

        private long until = Long.MIN_VALUE;

        boolean isIndependent(RunnerEntry runner, long sentAt) {
            return lastRunner == null || sentAt > lastLostAt && !runner.isSameIncarnation(lastRunner);
        }

        boolean isQuarantined(long now) {
            return until > now;
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
            Record known = records.computeIfAbsent(part.identifier(), unknown -> new Record());
            if (!known.isIndependent(request.runner().entry(), request.sentAt() - reportDelay)) {
                continue;
            }
            known.lostRuns += 1;
            known.hosts.add(host);
            known.lastLostAt = now;
            known.lastRunner = request.runner().entry();
            if (known.lostRuns >= MIN_LOST_RUNS && known.hosts.size() >= Math.min(MIN_HOSTS, hostCount)) {
                begin(part.identifier(), known, now + DURATION_NANOS, now);
            }
        }
    }

    private void begin(long part, Record known, long until, long now) {
        if (!known.isQuarantined(now)) {
            newlyQuarantined.add(part);
        }
        known.until = Math.max(known.until, until);
    }

    /** Records a complete run, which shows that none of its parts crashes runners. */
    void recordComplete(InFlightRequest request) {
        if (!records.isEmpty()) {
            judged(request.sent().parts()).forEach(part -> records.remove(part.identifier()));
        }
    }

    /** Adopts a quarantine of another host, unless the part is in quarantine here. */
    void adopt(LoadEvent.PartQuarantined quarantined, long now) {
        Record known = records.computeIfAbsent(quarantined.part(), unknown -> new Record());
        if (!known.isQuarantined(now)) {
            known.lostRuns = Math.max(known.lostRuns, MIN_LOST_RUNS);
            known.lastLostAt = now;
            begin(quarantined.part(), known, now + quarantined.remainingNanos(), now);
        }
    }

    /** Returns how long a prompt must not be sent to runners, in nanoseconds; empty if it may be sent. */
    Optional<Long> remainingNanos(List<PromptPart> parts, long now) {
        if (records.isEmpty()) {
            return Optional.empty();
        }
        return judged(parts).stream()
                .map(part -> records.get(part.identifier()))
                .filter(known -> known != null && known.isQuarantined(now))
                .map(known -> known.until - now)
                .max(Long::compare);
    }

    /** Returns all quarantined parts, for other hosts. */
    List<LoadEvent.PartQuarantined> quarantined(long now) {
        List<LoadEvent.PartQuarantined> parts = new ArrayList<>();
        records.forEach((part, known) -> {
            if (known.isQuarantined(now)) {
                parts.add(new LoadEvent.PartQuarantined(part, known.until - now));
            }
        });
        return parts;
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
