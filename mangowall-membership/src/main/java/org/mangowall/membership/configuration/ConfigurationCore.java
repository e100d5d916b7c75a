package org.mangowall.membership.configuration;

import java.time.Clock;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.membership.Rendezvous;
import org.mangowall.platform.retry.Backoff;
import org.mangowall.policy.fleet.FleetMember;
import org.mangowall.policy.fleet.FleetView;
import org.mangowall.policy.fleet.MemberState;

/**
 * Holds the newest configuration document that one router knows and serves it to its peers.
 *
 * <p>The version never decreases. A few routers of each zone, chosen by rendezvous hashing among those that are alive,
 * watch the platform; a router that sees a newer version in a probe or its answer requests the document from that peer.
 * This is a state machine without I/O, confined to one thread.
 */
public final class ConfigurationCore {

    private static final String WATCHER_KEY = "configuration-watcher";
    private static final int WATCHERS_PER_ZONE = 2;
    private static final Duration WATCH_TIMEOUT = Duration.ofSeconds(3);
    private static final Duration MINIMUM_BACKOFF = Duration.ofMillis(250);
    private static final Duration MAXIMUM_BACKOFF = Duration.ofSeconds(4);
    private static final Duration CONTENT_REQUEST_TIMEOUT = Duration.ofSeconds(1);

    private final FleetMember self;
    private final Clock clock;
    private final Backoff backoff;
    private ConfigurationContent current = new ConfigurationContent(0, new byte[0]);
    private boolean watcher = true;
    private boolean watchPending;
    private Instant nextWatchTime;
    private Instant contentRequestDeadline;

    /** Starts without a document; the seed randomizes the delays before failed watches are repeated. */
    public ConfigurationCore(FleetMember self, Clock clock, long seed) {
        this.self = self;
        this.clock = clock;
        this.backoff = new Backoff(MINIMUM_BACKOFF, MAXIMUM_BACKOFF, seed);
        this.nextWatchTime = clock.instant();
        this.contentRequestDeadline = clock.instant();
    }

    /** Handles one event and returns the actions to carry out, in this order. */
    public List<ConfigurationAction> handle(ConfigurationEvent event) {
        List<ConfigurationAction> actions = new ArrayList<>();
        switch (event) {
            case ConfigurationEvent.FleetChanged changed -> watcher = isWatcher(changed.view());
            case ConfigurationEvent.WatchEnded ended -> handleWatchEnded(ended.found(), actions);
            case ConfigurationEvent.WatchFailed failed -> handleWatchFailed();
            case ConfigurationEvent.PeerVersionSeen seen -> requestContent(seen, actions);
            case ConfigurationEvent.ContentRequested request -> sendContent(request, actions);
            case ConfigurationEvent.ContentReceived received -> install(received.content(), actions);
            case ConfigurationEvent.ClockTicked tick -> startWatch(actions);
        }
        return actions;
    }

    /** The newest document, if one is known. */
    public Optional<ConfigurationContent> current() {
        return current.version() == 0 ? Optional.empty() : Optional.of(current);
    }

    /** The version of the newest document; 0 when none is known. */
    public long version() {
        return current.version();
    }

    private boolean isWatcher(FleetView view) {
        List<RouterName> alive = view.members().values().stream()
                .filter(member -> member.zone().equals(self.zone()))
                .filter(member -> member.state() == MemberState.ALIVE)
                .map(FleetMember::name)
                .toList();
        return Rendezvous.choose(WATCHER_KEY, alive, WATCHERS_PER_ZONE).contains(self.name());
    }

    private void startWatch(List<ConfigurationAction> actions) {
        if (!watcher || watchPending || nextWatchTime.isAfter(clock.instant())) {
            return;
        }
        watchPending = true;
        actions.add(new ConfigurationAction.StartWatch(current.version(), WATCH_TIMEOUT));
    }

    private void handleWatchEnded(Optional<ConfigurationContent> found, List<ConfigurationAction> actions) {
        watchPending = false;
        backoff.reset();
        nextWatchTime = clock.instant();
        found.ifPresent(content -> install(content, actions));
    }

    private void handleWatchFailed() {
        watchPending = false;
        nextWatchTime = clock.instant().plus(backoff.next());
    }

    private void requestContent(ConfigurationEvent.PeerVersionSeen seen, List<ConfigurationAction> actions) {
        Instant now = clock.instant();
        if (seen.version() <= current.version() || contentRequestDeadline.isAfter(now)) {
            return;
        }
        contentRequestDeadline = now.plus(CONTENT_REQUEST_TIMEOUT);
        actions.add(new ConfigurationAction.RequestDocumentFromPeer(seen.peer(), current.version()));
    }

    private void sendContent(ConfigurationEvent.ContentRequested request, List<ConfigurationAction> actions) {
        if (current.version() > request.haveVersion()) {
            actions.add(new ConfigurationAction.SendContent(request.peer(), current));
        }
    }

    private void install(ConfigurationContent content, List<ConfigurationAction> actions) {
        if (content.version() <= current.version()) {
            return;
        }
        current = content;
        contentRequestDeadline = clock.instant();
        actions.add(new ConfigurationAction.InstallContent(content));
    }
}
