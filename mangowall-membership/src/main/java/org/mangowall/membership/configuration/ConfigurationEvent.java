package org.mangowall.membership.configuration;

import java.util.Optional;

import org.mangowall.kernel.name.RouterName;
import org.mangowall.policy.fleet.FleetView;

/** Something that a configuration core learns. */
public sealed interface ConfigurationEvent {

    /** The view of the fleet changed. */
    record FleetChanged(FleetView view) implements ConfigurationEvent {}

    /** A watch of the platform's object ended; empty when its wait was over without a newer version. */
    record WatchEnded(Optional<ConfigurationContent> found) implements ConfigurationEvent {}

    /** A watch of the platform's object failed. */
    record WatchFailed() implements ConfigurationEvent {}

    /** A probe or its answer told the version that a peer has. */
    record PeerVersionSeen(RouterName peer, long version) implements ConfigurationEvent {}

    /** A peer asks for the document when it is newer than its own. */
    record ContentRequested(RouterName peer, long haveVersion) implements ConfigurationEvent {}

    /** A document came from a peer, or was just written through this router. */
    record ContentReceived(ConfigurationContent content) implements ConfigurationEvent {}

    /** Time has passed; comes at least every 100 ms. */
    record ClockTicked() implements ConfigurationEvent {}
}
