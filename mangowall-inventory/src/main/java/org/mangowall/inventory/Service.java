package org.mangowall.inventory;

import java.time.Duration;

import org.mangowall.kernel.name.ServiceName;

/**
 * A service that callers address by name.
 *
 * @param name the name of the service
 * @param kind the kind of its runners
 * @param startLimit the limit of concurrent requests of a newly started runner, at least 1
 * @param workspaceQueueLimit the number of requests of one workspace that may wait at one home router
 * @param queueTimeout how long a request may wait before it is refused without having run
 * @param firstProgressTimeout how long a runner may take until the first byte of its response
 * @param progressTimeout how long a runner may take between two parts of its response
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

    private static final int DEFAULT_START_LIMIT_REQUESTS = 2;
    private static final int DEFAULT_WORKSPACE_QUEUE_LIMIT_REQUESTS = 256;
    private static final Duration DEFAULT_QUEUE_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_FIRST_PROGRESS_TIMEOUT = Duration.ofSeconds(30);
    private static final Duration DEFAULT_PROGRESS_TIMEOUT = Duration.ofSeconds(10);
    private static final double DEFAULT_PROMPT_TOKEN_COST = 0.1;

    /** Creates a service with the default limits, timeouts and costs. */
    public static Service withDefaults(ServiceName name, ServiceKind kind) {
        return new Service(
                name,
                kind,
                DEFAULT_START_LIMIT_REQUESTS,
                DEFAULT_WORKSPACE_QUEUE_LIMIT_REQUESTS,
                DEFAULT_QUEUE_TIMEOUT,
                DEFAULT_FIRST_PROGRESS_TIMEOUT,
                DEFAULT_PROGRESS_TIMEOUT,
                DEFAULT_PROMPT_TOKEN_COST,
                1.0);
    }
}
