package org.mangowall.command.client;

import java.nio.file.Path;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Function;

import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.inventory.document.InventoryDocument;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.protocol.operator.ExplanationDocument;
import org.mangowall.protocol.operator.RouterStatusDocument;

/**
 * Calls the operator API of a fleet of routers.
 *
 * <p>A call is tried on the routers in the configured order until one of them can answer it. A write fails over to the
 * next router only when the failed attempt certainly had no effect.
 */
public final class OperatorClient implements AutoCloseable {

    private static final String CONFIGURATION_PATH = "/mangowall/configuration";
    private static final String STATUS_PATH = "/mangowall/status";
    private static final String EXPLAIN_PATH = "/mangowall/explain/";

    private final List<HostAndPort> routers;
    private final Duration timeout;
    private final Optional<Path> tokenFile;
    private RouterHttpClient httpClient;

    /** Creates a client, which reads the token and opens connections only at the first call. */
    public OperatorClient(List<HostAndPort> routers, Duration timeout, Optional<Path> tokenFile) {
        this.routers = List.copyOf(routers);
        this.timeout = timeout;
        this.tokenFile = tokenFile;
    }

    /**
     * Reads the stored inventory.
     *
     * @throws MangowallException with {@link FailureCode#ROUTERS_UNREACHABLE} when no router can answer
     */
    public StoredConfiguration configuration() {
        RouterResponse response = callWithFailover(router -> httpClient().get(router, CONFIGURATION_PATH), true);
        if (response.isSuccess()) {
            return new StoredConfiguration(
                    response.version(), Optional.of(InventoryDocument.parseJson(response.body())));
        }
        MangowallException failure = response.failure();
        if (failure.failureCode() == FailureCode.PLATFORM_OBJECT_MISSING) {
            return StoredConfiguration.NONE;
        }
        throw failure;
    }

    /**
     * Writes the inventory if the stored version is the expected one.
     *
     * @return the new version
     * @throws MangowallException with {@link FailureCode#PLATFORM_CONFLICT} when the stored version differs, with
     *     {@link FailureCode#PLATFORM_ANSWER_LOST} when it is not known whether the write took effect
     */
    public long write(long expectedVersion, InventoryDocument document) {
        byte[] body = document.toJson();
        RouterResponse response =
                callWithFailover(router -> httpClient().put(router, CONFIGURATION_PATH, expectedVersion, body), false);
        if (!response.isSuccess()) {
            throw response.failure();
        }
        return response.version();
    }

    /** Reads the status of each router; a router that fails is returned as unavailable. */
    public List<RouterStatus> status() {
        requireRouters();
        List<RouterStatus> results = new ArrayList<>();
        for (HostAndPort router : routers) {
            results.add(status(router));
        }
        return results;
    }

    /** Reads the routing decisions for a request from each router; skips failing routers unless all fail. */
    public List<ExplanationDocument> explain(String requestIdentifier) {
        requireRouters();
        List<ExplanationDocument> results = new ArrayList<>();
        List<MangowallException> failures = new ArrayList<>();
        for (HostAndPort router : routers) {
            try {
                RouterResponse response = httpClient().get(router, EXPLAIN_PATH + requestIdentifier);
                if (!response.isSuccess()) {
                    throw response.failure();
                }
                results.add(ExplanationDocument.parse(response.body()));
            } catch (MangowallException failure) {
                failures.add(failure);
            }
        }
        if (results.isEmpty()) {
            throw noRouterAnswered(failures);
        }
        return results;
    }

    private RouterStatus status(HostAndPort router) {
        try {
            RouterResponse response = httpClient().get(router, STATUS_PATH);
            if (!response.isSuccess()) {
                throw response.failure();
            }
            return new RouterStatus.Available(router, RouterStatusDocument.parse(response.body()));
        } catch (MangowallException failure) {
            return new RouterStatus.Unavailable(router, failure);
        }
    }

    private RouterResponse callWithFailover(Function<HostAndPort, RouterResponse> call, boolean idempotent) {
        requireRouters();
        List<MangowallException> failures = new ArrayList<>();
        for (HostAndPort router : routers) {
            try {
                RouterResponse response = call.apply(router);
                if (response.isSuccess() || !mayRetryOnNextRouter(response.failure(), idempotent)) {
                    return response;
                }
                failures.add(response.failure());
            } catch (MangowallException failure) {
                if (!mayRetryOnNextRouter(failure, idempotent)) {
                    throw failure;
                }
                failures.add(failure);
            }
        }
        throw noRouterAnswered(failures);
    }

    private static boolean mayRetryOnNextRouter(MangowallException failure, boolean idempotent) {
        return switch (failure.failureCode()) {
            case ROUTERS_UNREACHABLE, NOT_READY, ROUTER_LEAVING, ROUTER_BUSY -> true;
            case PLATFORM_UNAVAILABLE, PLATFORM_RATE_LIMITED -> true;
            case PLATFORM_ANSWER_LOST -> idempotent;
            default -> false;
        };
    }

    private static MangowallException noRouterAnswered(List<MangowallException> failures) {
        StringBuilder detail = new StringBuilder("no router could answer");
        for (MangowallException failure : failures) {
            detail.append("\n  ").append(failure.getMessage());
        }
        FailureCode code = failures.stream()
                .map(MangowallException::failureCode)
                .filter(failureCode -> failureCode != FailureCode.PLATFORM_ANSWER_LOST)
                .findFirst()
                .orElse(FailureCode.ROUTERS_UNREACHABLE);
        return new MangowallException(code, detail.toString());
    }

    private void requireRouters() {
        if (routers.isEmpty()) {
            throw new MangowallException(FailureCode.USAGE, "no routers are named; give --routers or --settings");
        }
    }

    private RouterHttpClient httpClient() {
        if (httpClient == null) {
            httpClient = new RouterHttpClient(timeout, tokenFile);
        }
        return httpClient;
    }

    @Override
    public void close() {
        if (httpClient != null) {
            httpClient.close();
        }
    }
}
