package org.mangowall.membership.configuration;

import java.util.Optional;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetView;

/** An input of {@link ConfigurationCore}. */
public sealed interface ConfigurationEvent {

    /** The view of the fleet changed. */
    record FleetChanged(FleetView view) implements ConfigurationEvent {}

    /** A watch of the platform's object ended; empty when it timed out without a newer version. */
    record WatchEnded(Optional<ConfigurationContent> found) implements ConfigurationEvent {}

    /** A watch of the platform's object failed. */
    record WatchFailed() implements ConfigurationEvent {}

    /** A probe or probe answer carried the version that a peer has. */
    record PeerVersionSeen(RouterName peer, long version) implements ConfigurationEvent {}

    /** A peer requests the document if it is newer than the peer's own version. */
    record ContentRequested(RouterName peer, long haveVersion) implements ConfigurationEvent {}

    /** A document arrived from a peer, or was written to the platform through this router. */
    record ContentReceived(ConfigurationContent content) implements ConfigurationEvent {}

    /** Time has passed; occurs at least every 100 ms. */
    record ClockTicked() implements ConfigurationEvent {}
}
