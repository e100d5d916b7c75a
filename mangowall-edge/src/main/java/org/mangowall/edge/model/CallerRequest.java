package org.mangowall.edge.model;

import java.time.Duration;
import java.util.Optional;

/**
 * The head of a caller's request, decoded.
 *
 * @param identifier names this request in logs and answers
 * @param hostName the host name that the caller asked for, in lower case, without a port
 * @param path the path without its query
 * @param patience how long the caller waits; empty when it doesn't say
 * @param key the caller's key
 * @param prompt what the caller tells of its prompt
 * @param lastEvent the event after which a stream shall go on
 */
public record CallerRequest(
        String identifier,
        String hostName,
        String path,
        Optional<Duration> patience,
        Optional<String> key,
        Optional<PromptDescription> prompt,
        Optional<String> lastEvent) {}
