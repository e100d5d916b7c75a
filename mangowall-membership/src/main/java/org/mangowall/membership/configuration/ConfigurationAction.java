package org.mangowall.membership.configuration;

import java.time.Duration;

import org.mangowall.kernel.name.RouterName;

/** Something that a configuration core orders. */
public sealed interface ConfigurationAction {

    /** Watch the platform's object for a version after the given one. */
    record StartWatch(long afterVersion, Duration patience) implements ConfigurationAction {}

    /** Ask a peer for its document. */
    record RequestDocumentFromPeer(RouterName peer, long haveVersion) implements ConfigurationAction {}

    /** Send the document to a peer that asked. */
    record SendContent(RouterName peer, ConfigurationContent content) implements ConfigurationAction {}

    /** Put a newer document in force. */
    record InstallContent(ConfigurationContent content) implements ConfigurationAction {}
}
