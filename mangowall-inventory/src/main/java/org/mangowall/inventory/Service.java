package org.mangowall.inventory;

import java.time.Duration;

import org.mangowall.kernel.name.ServiceName;

/**
 * A service that callers ask for by name.
 *
 * @param name the service
 * @param kind what its runners are
 * @param startLimit the requests that a freshly started runner bears at once, at least 1
 * @param workspaceQueueLimit the requests of one workspace that may wait at one home router
 * @param queueTimeout how long a request may wait before it is refused as not run
 * @param firstProgressTimeout how long a runner may take to its first byte
 * @param progressTimeout how long a runner may take between two pieces of an answer
 * @param promptTokenCost the cost of one prompt token, in cost units; unused by plain services
 * @param outputTokenCost the cost of one output token, in cost units; unused by plain services
 */
public record Service(
        ServiceName name,
        ServiceKind kind,
        int startLimit,
        int workspaceQueueLimit,
        Duration queueTimeout,
        Duration firstProgressTimeout,
        Duration progressTimeout,
        double promptTokenCost,
        double outputTokenCost) {

    private static final int START_LIMIT_REQUESTS = 2;
    private static final int WORKSPACE_QUEUE_REQUESTS = 256;
    private static final Duration QUEUE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration FIRST_PROGRESS_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration PROGRESS_TIMEOUT = Duration.ofSeconds(10);
    private static final double PROMPT_TOKEN_COST = 0.1;

    /** A service with the default limits. */
    public static Service withDefaults(ServiceName name, ServiceKind kind) {
        return new Service(
                name,
                kind,
                START_LIMIT_REQUESTS,
                WORKSPACE_QUEUE_REQUESTS,
                QUEUE_TIMEOUT,
                FIRST_PROGRESS_TIMEOUT,
                PROGRESS_TIMEOUT,
                PROMPT_TOKEN_COST,
                1.0);
    }
}
