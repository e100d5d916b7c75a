package org.mangowall.edge.model;

import java.time.Duration;
import java.util.Optional;

/**
 * The decoded head of a caller's request.
 *
 * @param identifier the request identifier used in logs and responses
 * @param hostName the requested host name in lower case, without a port
 * @param path the path without its query
 * @param callerTimeout how long the caller waits; empty when it isn't stated
 * @param key the caller's API key
 * @param prompt the caller's description of its prompt
 * @param lastEventId identifier of the event after which a stream is to be resumed
 * @param resumedRequest identifier of the request that brought the first event of the stream to be resumed
 */
public record CallerRequest(
        String identifier,
        String hostName,
        String path,
        Optional<Duration> callerTimeout,
        Optional<String> key,
        Optional<PromptDescription> prompt,
        Optional<String> lastEventId,
        Optional<String> resumedRequest) {}
