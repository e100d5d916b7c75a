package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;

import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RunnerEntry;

/**
 * Finds requests and prompt parts that crash runners, from the runs of all hosts, and quarantines them.
 *
 * <p>A crash ends all requests of a runner, so most of the suspects that it is seen with are sound. A suspect is
 * quarantined after several lost runs in a row, each sent after the one before was lost, and to another incarnation of
 * a runner. A complete run clears it. Lost runs of a part count only if they are of different requests: those of a
 * single one convict the request, while other requests with the part may be sound. The last part of a prompt belongs to
 * one request or session and isn't judged.
 */
public final class CrashQuarantine {

    /** A sound request or part nearly always has a complete run among this many independent ones. */
    private static final int MIN_LOST_RUNS = 3;
    /** Losses at one host only may be caused by the network of that host, unless it has had complete runs since. */
    private static final int MIN_HOSTS = 2;
    /** Long enough to spare the runners of a fleet, short enough for a suspect that is judged wrongly. */
    private static final long DURATION_NANOS = 300_000_000_000L;
    /** Upper bound of the age of another host's report, by which its requests may have been sent earlier. */
    private static final long MAX_REPORT_DELAY_NANOS = 300_000_000L;
    /** Lost runs that are further apart than this are judged anew. */
    private static final long SUSPICION_NANOS = 600_000_000_000L;
    /** Suspects of lost runs that are remembered; the oldest are forgotten first. */
    private static final int MAX_SUSPECTS = 4_096;

    private final String self;
    /** The lost runs of each suspect since its last complete run. */
    private final Map<CrashSuspect, LostRuns> lostRuns = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashSuspect, LostRuns> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };
    /** When the quarantine of each suspect ends; it stays here until a complete run clears it. */
    private final Map<CrashSuspect, Long> ends = new HashMap<>();
    /** When each host had a complete run last, while there are suspects. */
    private final Map<String, Long> lastCompleteAt = new HashMap<>();

    private final List<CrashSuspect> newlyQuarantined = new ArrayList<>();

    CrashQuarantine(String self) {
        this.self = self;
    }

    /** The independent lost runs of a suspect since its last complete run. */
    private static final class LostRuns {
        private final Set<String> hosts = new HashSet<>();
        private final Set<Long> requests = new HashSet<>();
        private int count;
        private long firstAt;
        private long lastAt;
        private RunnerEntry lastRunner;

        /** Counts a lost run unless it may have been lost for the same reason as the one before. */
        void record(String host, RunnerEntry runner, long sentAt, long now) {
            if (count > 0 && (sentAt <= lastAt || runner.isSameIncarnation(lastRunner))) {
                return;
            }
            if (count == 0) {
                firstAt = now;
            }
            count += 1;
            hosts.add(host);
            lastAt = now;
            lastRunner = runner;
        }
    }

    /**
     * Records that the connection to a runner was lost during a run.
     *
     * @param fingerprint the fingerprint of the request; empty if it isn't known
     * @param host the host that sent the request
     * @param hostCount the number of hosts that take requests
     */
    void recordLost(InFlightRequest request, OptionalLong fingerprint, String host, int hostCount, long now) {
        long sentAt = request.sentAt() - (host.equals(self) ? 0 : MAX_REPORT_DELAY_NANOS);
        for (CrashSuspect suspect : suspects(request.sent().parts(), fingerprint)) {
            LostRuns lost = lostRuns.computeIfAbsent(suspect, unknown -> new LostRuns());
            boolean isOfOtherRequest = fingerprint.isEmpty() || lost.requests.add(fingerprint.getAsLong());
            if (suspect instanceof CrashSuspect.Request || isOfOtherRequest) {
                lost.record(host, request.runner().entry(), sentAt, now);
            }
            if (isConvicted(lost, hostCount) || ends.containsKey(suspect)) {
                begin(suspect, now + DURATION_NANOS, now);
            }
        }
    }

    private boolean isConvicted(LostRuns lost, int hostCount) {
        return lost.count >= MIN_LOST_RUNS
                && (lost.hosts.size() >= Math.min(MIN_HOSTS, hostCount) || hasCompletedSince(lost));
    }

    private boolean hasCompletedSince(LostRuns lost) {
        return lost.hosts.stream()
                .map(lastCompleteAt::get)
                .anyMatch(completeAt -> completeAt != null && completeAt > lost.firstAt);
    }

    private void begin(CrashSuspect suspect, long end, long now) {
        if (!isQuarantined(suspect, now)) {
            newlyQuarantined.add(suspect);
        }
        ends.merge(suspect, end, Math::max);
    }

    private boolean isQuarantined(CrashSuspect suspect, long now) {
        Long end = ends.get(suspect);
        return end != null && end > now;
    }

    /** Whether any request or part is suspected or in quarantine, so that fingerprints of requests are needed. */
    public boolean hasSuspects() {
        return !lostRuns.isEmpty() || !ends.isEmpty();
    }

    /** Records a complete run, which shows that neither the request nor any of its parts crashes runners. */
    void recordComplete(InFlightRequest request, OptionalLong fingerprint, String host, long now) {
        if (!hasSuspects()) {
            return;
        }
        lastCompleteAt.put(host, now);
        for (CrashSuspect suspect : suspects(request.sent().parts(), fingerprint)) {
            lostRuns.remove(suspect);
            ends.remove(suspect);
        }
    }

    /** Adopts a quarantine of another host, unless the suspect is in quarantine here. */
    void adopt(LoadEvent.Quarantined quarantined, long now) {
        if (!isQuarantined(quarantined.suspect(), now)) {
            begin(quarantined.suspect(), now + quarantined.remainingNanos(), now);
        }
    }

    /**
     * Returns the quarantine that keeps a request from runners the longest; empty if it may be sent.
     *
     * @param parts the parts of its prompt
     * @param fingerprint the fingerprint of the request; may be empty while there are no suspects
     */
    Optional<LoadEvent.Quarantined> find(List<PromptPart> parts, OptionalLong fingerprint, long now) {
        if (ends.isEmpty()) {
            return Optional.empty();
        }
        return quarantined(suspects(parts, fingerprint), now).stream()
                .max(Comparator.comparingLong(LoadEvent.Quarantined::remainingNanos));
    }

    /** Returns all quarantines in force, for other hosts. */
    public List<LoadEvent.Quarantined> quarantined(long now) {
        return quarantined(ends.keySet(), now);
    }

    private List<LoadEvent.Quarantined> quarantined(Collection<CrashSuspect> suspects, long now) {
        return suspects.stream()
                .filter(suspect -> isQuarantined(suspect, now))
                .map(suspect -> new LoadEvent.Quarantined(suspect, ends.get(suspect) - now))
                .toList();
    }

    /** Returns and clears what was put in quarantine since the last call. */
    public List<CrashSuspect> takeNewlyQuarantined() {
        List<CrashSuspect> suspects = List.copyOf(newlyQuarantined);
        newlyQuarantined.clear();
        return suspects;
    }

    /** Forgets lost runs that are long past. */
    void dropExpired(long now) {
        lostRuns.values().removeIf(lost -> now - lost.lastAt > SUSPICION_NANOS);
        if (!hasSuspects()) {
            lastCompleteAt.clear();
        }
    }

    private static List<CrashSuspect> suspects(List<PromptPart> parts, OptionalLong fingerprint) {
        List<CrashSuspect> suspects = new ArrayList<>();
        for (PromptPart part : parts.subList(0, Math.max(0, parts.size() - 1))) {
            suspects.add(new CrashSuspect.Part(part.identifier()));
        }
        fingerprint.ifPresent(request -> suspects.add(new CrashSuspect.Request(request)));
        return suspects;
    }
}
