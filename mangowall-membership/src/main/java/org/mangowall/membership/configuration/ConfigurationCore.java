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
 * Keeps the newest configuration document of one router and passes it on.
 *
 * <p>Its version only grows. A few routers of each zone, chosen by their names among those that are alive, watch the
 * platform; a router that sees a newer version on a peer's probe asks that peer. It is a pure state machine confined to
 * one thread.
 */
public final class ConfigurationCore {

    private static final String WATCHER_KEY = "configuration-watcher";
    private static final int WATCHERS_PER_ZONE = 2;
    private static final Duration WATCH_WAIT = Duration.ofSeconds(3);
    private static final Duration FIRST_BACKOFF = Duration.ofMillis(250);
    private static final Duration LONGEST_BACKOFF = Duration.ofSeconds(4);
    private static final Duration ASK_TIMEOUT = Duration.ofSeconds(1);

    private final FleetMember self;
    private final Clock clock;
    private final Backoff backoff;
    private ConfigurationContent current = new ConfigurationContent(0, new byte[0]);
    private boolean watcher = true;
    private boolean watching;
    private Instant nextWatch;
    private Instant askDeadline;

    /** Starts without a document; the seed spreads the repeats of failed watches. */
    public ConfigurationCore(FleetMember self, Clock clock, long seed) {
        this.self = self;
        this.clock = clock;
        this.backoff = new Backoff(FIRST_BACKOFF, LONGEST_BACKOFF, seed);
        this.nextWatch = clock.instant();
        this.askDeadline = clock.instant();
    }

    /** Takes one event and gives the actions to carry out, in this order. */
    public List<ConfigurationAction> handle(ConfigurationEvent event) {
        List<ConfigurationAction> actions = new ArrayList<>();
        switch (event) {
            case ConfigurationEvent.FleetChanged changed -> watcher = isWatcher(changed.view());
            case ConfigurationEvent.WatchEnded ended -> endWatch(ended.found(), actions);
            case ConfigurationEvent.WatchFailed failed -> failWatch();
            case ConfigurationEvent.PeerVersionSeen seen -> askPeer(seen, actions);
            case ConfigurationEvent.ContentRequested asked -> sendContent(asked, actions);
            case ConfigurationEvent.ContentReceived received -> install(received.content(), actions);
            case ConfigurationEvent.ClockTicked tick -> startWatch(actions);
        }
        return actions;
    }

    /** The newest document, if there is one. */
    public Optional<ConfigurationContent> current() {
        return current.version() == 0 ? Optional.empty() : Optional.of(current);
    }

    /** The version of the newest document; 0 when there is none. */
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
        if (!watcher || watching || nextWatch.isAfter(clock.instant())) {
            return;
        }
        watching = true;
        actions.add(new ConfigurationAction.StartWatch(current.version(), WATCH_WAIT));
    }

    private void endWatch(Optional<ConfigurationContent> found, List<ConfigurationAction> actions) {
        watching = false;
        backoff.reset();
        nextWatch = clock.instant();
        found.ifPresent(content -> install(content, actions));
    }

    private void failWatch() {
        watching = false;
        nextWatch = clock.instant().plus(backoff.next());
    }

    private void askPeer(ConfigurationEvent.PeerVersionSeen seen, List<ConfigurationAction> actions) {
        Instant now = clock.instant();
        if (seen.version() <= current.version() || askDeadline.isAfter(now)) {
            return;
        }
        askDeadline = now.plus(ASK_TIMEOUT);
        actions.add(new ConfigurationAction.RequestDocumentFromPeer(seen.peer(), current.version()));
    }

    private void sendContent(ConfigurationEvent.ContentRequested asked, List<ConfigurationAction> actions) {
        if (current.version() > asked.haveVersion()) {
            actions.add(new ConfigurationAction.SendContent(asked.peer(), current));
        }
    }

    private void install(ConfigurationContent content, List<ConfigurationAction> actions) {
        if (content.version() <= current.version()) {
            return;
        }
        current = content;
        askDeadline = clock.instant();
        actions.add(new ConfigurationAction.InstallContent(content));
    }
}
