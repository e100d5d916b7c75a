package org.mangowall.membership.configuration;

import java.time.Duration;

import org.mangowall.kernel.name.RouterName;

/** An action that the caller of {@link ConfigurationCore} has to carry out. */
public sealed interface ConfigurationAction {

    /** Watch the platform's object for a version after the given one, until the timeout. */
    record StartWatch(long afterVersion, Duration timeout) implements ConfigurationAction {}

    /** Request the document of a peer if it is newer than {@code haveVersion}. */
    record RequestDocumentFromPeer(RouterName peer, long haveVersion) implements ConfigurationAction {}

    /** Send the document to a peer that requested it. */
    record SendContent(RouterName peer, ConfigurationContent content) implements ConfigurationAction {}

    /** Apply a newer document. */
    record InstallContent(ConfigurationContent content) implements ConfigurationAction {}
}
