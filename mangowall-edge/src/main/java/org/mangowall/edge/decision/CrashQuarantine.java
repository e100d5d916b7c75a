package org.mangowall.edge.decision;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;

import org.mangowall.edge.model.PromptPart;
import org.mangowall.edge.model.RunnerEntry;

/**
 * Finds requests and prompt parts that crash runners, from the runs of all hosts, and quarantines them.
 *
 * <p>A crash ends all requests of a runner, so most of the suspects that it is seen with are sound. A suspect is
 * quarantined after several lost runs in a row, each sent after the one before was lost, and to another incarnation of
 * a runner. A complete run clears it, and a lost run no longer counts once the same incarnation of the runner completes
 * a later one: the connection was lost, not the runner. Lost runs of a part count only if they are of different
 * requests: those of a single one convict the request, while other requests with the part may be sound. The last part
 * of a prompt belongs to one request or session and isn't judged.
 */
public final class CrashQuarantine {

    /** A sound request or part nearly always has a complete run among this many independent ones. */
    private static final int MIN_LOST_RUNS = 3;
    /** Lost runs that are kept for each suspect; more of them change nothing. */
    private static final int MAX_LOST_RUNS = 8;
    /** Losses at one host only may be caused by the network of that host, unless it has had complete runs since. */
    private static final int MIN_HOSTS = 2;
    /** Long enough to spare the runners of a fleet, short enough for a suspect that is judged wrongly. */
    private static final long DURATION_NANOS = 300_000_000_000L;
    /** Upper bound of the age of another host's report, by which its requests may have been sent earlier. */
    private static final long MAX_REPORT_DELAY_NANOS = 300_000_000L;
    /** Lost runs and quarantines that ended longer ago are forgotten. */
    private static final long SUSPICION_NANOS = 600_000_000_000L;
    /** All hosts end a quarantine within this time after one of them has, so that none adopts it again. */
    private static final long CLEARING_NANOS = 5_000_000_000L;
    /** Suspects of lost runs that are remembered; the oldest are forgotten first. */
    private static final int MAX_SUSPECTS = 4_096;

    private final String self;
    /** The independent lost runs of each suspect since its last complete run, the latest last. */
    private final Map<CrashSuspect, List<LostRun>> lostRuns = new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<CrashSuspect, List<LostRun>> eldest) {
            return size() > MAX_SUSPECTS;
        }
    };
    /** The suspects that have lost runs on each runner that is still listed. */
    private final Map<String, Set<CrashSuspect>> suspectsByRunner = new HashMap<>();
    /** The quarantine of each suspect; for some time after its end, one more lost run renews it. */
    private final Map<CrashSuspect, Quarantine> quarantines = new HashMap<>();
    /** When quarantines were cleared lately. */
    private final Map<CrashSuspect, Long> clearedAt = new HashMap<>();
    /** When each host had a complete run last, while there are suspects. */
    private final Map<String, Long> lastCompleteAt = new HashMap<>();

    private final List<CrashSuspect> newlyQuarantined = new ArrayList<>();
    private final List<CrashSuspect> newlyCleared = new ArrayList<>();
    private int hostCount = 1;

    CrashQuarantine(String self) {
        this.self = self;
    }

    private record LostRun(RunnerEntry runner, String host, OptionalLong request, long at) {}

    /**
     * A quarantine.
     *
     * @param isOwn whether this host convicted the suspect, in place of adopting the quarantine of another host
     */
    private record Quarantine(long end, boolean isOwn) {}

    /**
     * Records that the connection to a runner was lost during a run.
     *
     * @param fingerprint the fingerprint of the request; empty if it isn't known
     * @param host the host that sent the request
     * @param hosts the number of hosts that take requests
     */
    void recordLost(InFlightRequest request, OptionalLong fingerprint, String host, int hosts, long now) {
        hostCount = hosts;
        LostRun lost = new LostRun(request.runner().entry(), host, fingerprint, now);
        for (CrashSuspect suspect : suspects(request.sent().parts(), fingerprint)) {
            List<LostRun> earlier = lostRuns.computeIfAbsent(suspect, unknown -> new ArrayList<>());
            if (earlier.size() < MAX_LOST_RUNS && isIndependent(suspect, earlier, lost, sentAt(request, host))) {
                earlier.add(lost);
                suspectsByRunner
                        .computeIfAbsent(lost.runner().identifier(), unknown -> new HashSet<>())
                        .add(suspect);
            }
            if (isConvicted(earlier) || quarantines.containsKey(suspect)) {
                begin(suspect, new Quarantine(now + DURATION_NANOS, true), now);
            }
        }
    }

    /** The latest time at which a host may have sent a request, by the clock of this host. */
    private long sentAt(InFlightRequest request, String host) {
        return request.sentAt() - (host.equals(self) ? 0 : MAX_REPORT_DELAY_NANOS);
    }

    /** Whether a run can't have been lost for the same reason as the ones before. */
    private static boolean isIndependent(CrashSuspect suspect, List<LostRun> earlier, LostRun lost, long sentAt) {
        if (earlier.isEmpty()) {
            return true;
        }
        LostRun last = earlier.getLast();
        if (sentAt <= last.at() || lost.runner().isSameIncarnation(last.runner())) {
            return false;
        }
        return suspect instanceof CrashSuspect.Request
                || lost.request().isEmpty()
                || earlier.stream().noneMatch(run -> run.request().equals(lost.request()));
    }

    private boolean isConvicted(List<LostRun> lost) {
        if (lost.size() < MIN_LOST_RUNS) {
            return false;
        }
        Set<String> hosts = lost.stream().map(LostRun::host).collect(Collectors.toSet());
        long firstAt = lost.getFirst().at();
        return hosts.size() >= Math.min(MIN_HOSTS, hostCount)
                || hosts.stream().anyMatch(host -> lastCompleteAt.getOrDefault(host, firstAt) > firstAt);
    }

    private void begin(CrashSuspect suspect, Quarantine quarantine, long now) {
        if (!isQuarantined(suspect, now)) {
            newlyQuarantined.add(suspect);
        }
        quarantines.merge(suspect, quarantine, (one, other) -> one.end() > other.end() ? one : other);
    }

    private boolean isQuarantined(CrashSuspect suspect, long now) {
        Quarantine quarantine = quarantines.get(suspect);
        return quarantine != null && quarantine.end() > now;
    }

    /** Whether any request or part is suspected or in quarantine, so that fingerprints of requests are needed. */
    public boolean hasSuspects() {
        return !lostRuns.isEmpty() || !quarantines.isEmpty();
    }

    /** Records a complete run: neither the request nor any of its parts crashes runners, and its runner lives. */
    void recordComplete(InFlightRequest request, OptionalLong fingerprint, String host, long now) {
        if (!hasSuspects()) {
            return;
        }
        lastCompleteAt.put(host, now);
        for (CrashSuspect suspect : suspects(request.sent().parts(), fingerprint)) {
            lostRuns.remove(suspect);
            clear(suspect, now);
        }
        dropLostRuns(request.runner().entry(), sentAt(request, host), now);
    }

    /** Drops the lost runs of a runner that has completed a run which was sent later. */
    private void dropLostRuns(RunnerEntry runner, long sentAt, long now) {
        Set<CrashSuspect> suspects = suspectsByRunner.getOrDefault(runner.identifier(), Set.of());
        for (CrashSuspect suspect : List.copyOf(suspects)) {
            List<LostRun> lost = lostRuns.get(suspect);
            if (lost == null) {
                suspects.remove(suspect);
                continue;
            }
            boolean isDropped = lost.removeIf(run -> run.runner().isSameIncarnation(runner) && run.at() < sentAt);
            if (isDropped && !isConvicted(lost)) {
                clear(suspect, now);
            }
            if (lost.isEmpty()) {
                lostRuns.remove(suspect);
            }
        }
    }

    /** Records that an incarnation of a runner isn't listed any more, so that it completes no further run. */
    void recordRunnerGone(String runner) {
        suspectsByRunner.remove(runner);
    }

    private void clear(CrashSuspect suspect, long now) {
        if (quarantines.remove(suspect) != null) {
            newlyCleared.add(suspect);
            clearedAt.put(suspect, now);
        }
    }

    /** Adopts the beginning or the end of a quarantine of another host. */
    void adopt(LoadEvent.Quarantined quarantined, long now) {
        CrashSuspect suspect = quarantined.suspect();
        if (quarantined.remainingNanos() == 0) {
            quarantines.remove(suspect);
            clearedAt.put(suspect, now);
            return;
        }
        if (!isQuarantined(suspect, now) && !clearedAt.containsKey(suspect)) {
            begin(suspect, new Quarantine(now + quarantined.remainingNanos(), false), now);
        }
    }

    /**
     * Returns the quarantine that keeps a request from runners the longest; empty if it may be sent.
     *
     * @param parts the parts of its prompt
     * @param fingerprint the fingerprint of the request; may be empty while there are no suspects
     */
    Optional<LoadEvent.Quarantined> find(List<PromptPart> parts, OptionalLong fingerprint, long now) {
        if (quarantines.isEmpty()) {
            return Optional.empty();
        }
        return suspects(parts, fingerprint).stream()
                .filter(suspect -> isQuarantined(suspect, now))
                .map(suspect -> toEvent(suspect, now))
                .max(Comparator.comparingLong(LoadEvent.Quarantined::remainingNanos));
    }

    private LoadEvent.Quarantined toEvent(CrashSuspect suspect, long now) {
        return new LoadEvent.Quarantined(suspect, quarantines.get(suspect).end() - now);
    }

    /** Returns all quarantines in force, for a host that has just started. */
    public List<LoadEvent.Quarantined> all(long now) {
        return quarantines.keySet().stream()
                .filter(suspect -> isQuarantined(suspect, now))
                .map(suspect -> toEvent(suspect, now))
                .toList();
    }

    /** Returns the quarantines in force that this host has begun, for its full report to other hosts. */
    public List<LoadEvent.Quarantined> own(long now) {
        return all(now).stream()
                .filter(event -> quarantines.get(event.suspect()).isOwn())
                .toList();
    }

    /** Returns and clears what was put in quarantine since the last call. */
    public List<CrashSuspect> takeNewlyQuarantined() {
        List<CrashSuspect> suspects = List.copyOf(newlyQuarantined);
        newlyQuarantined.clear();
        return suspects;
    }

    /** Returns and clears whose quarantine was ended by a complete run since the last call. */
    public List<CrashSuspect> takeNewlyCleared() {
        List<CrashSuspect> suspects = List.copyOf(newlyCleared);
        newlyCleared.clear();
        return suspects;
    }

    /** Forgets lost runs and quarantines that are long past, and what all hosts have cleared. */
    void dropExpired(long now) {
        lostRuns.values().removeIf(lost -> now - lost.getLast().at() > SUSPICION_NANOS);
        quarantines.values().removeIf(quarantine -> now - quarantine.end() > SUSPICION_NANOS);
        clearedAt.values().removeIf(at -> now - at > CLEARING_NANOS);
        suspectsByRunner.values().forEach(suspects -> suspects.retainAll(lostRuns.keySet()));
        suspectsByRunner.values().removeIf(Set::isEmpty);
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
