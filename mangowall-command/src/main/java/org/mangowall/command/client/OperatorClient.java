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
 * The operators' calls to a fleet.
 *
 * <p>A call goes to the routers in the order in which they were named until one can answer it. A write goes on to the
 * next router only while it is certain that it had no effect.
 */
public final class OperatorClient implements AutoCloseable {

    private static final String CONFIGURATION_PATH = "/mangowall/configuration";
    private static final String STATUS_PATH = "/mangowall/status";
    private static final String EXPLAIN_PATH = "/mangowall/explain/";

    private final List<HostAndPort> routers;
    private final Duration timeout;
    private final Optional<Path> tokenFile;
    private RouterConnection connection;

    /** Creates a client; it reads the token and opens connections only when it is used. */
    public OperatorClient(List<HostAndPort> routers, Duration timeout, Optional<Path> tokenFile) {
        this.routers = List.copyOf(routers);
        this.timeout = timeout;
        this.tokenFile = tokenFile;
    }

    /**
     * Reads the inventory.
     *
     * @throws MangowallException with {@link FailureCode#ROUTERS_UNREACHABLE} when no router can answer
     */
    public StoredConfiguration configuration() {
        RouterAnswer answer = firstAnswer(router -> connection().get(router, CONFIGURATION_PATH), true);
        if (answer.isSuccess()) {
            return new StoredConfiguration(answer.version(), Optional.of(InventoryDocument.parseJson(answer.body())));
        }
        MangowallException failure = answer.failure();
        if (failure.failureCode() == FailureCode.PLATFORM_OBJECT_MISSING) {
            return StoredConfiguration.NONE;
        }
        throw failure;
    }

    /**
     * Writes the inventory if its version is the expected one.
     *
     * @return the new version
     * @throws MangowallException with {@link FailureCode#PLATFORM_CONFLICT} when the version is another, with
     *     {@link FailureCode#PLATFORM_ANSWER_LOST} when it is not known whether the write took effect
     */
    public long write(long expectedVersion, InventoryDocument document) {
        byte[] body = document.toJson();
        RouterAnswer answer =
                firstAnswer(router -> connection().put(router, CONFIGURATION_PATH, expectedVersion, body), false);
        if (!answer.isSuccess()) {
            throw answer.failure();
        }
        return answer.version();
    }

    /** Asks each router for its status; an answer that fails is kept as such. */
    public List<RouterStatus> status() {
        requireRouters();
        List<RouterStatus> all = new ArrayList<>();
        for (HostAndPort router : routers) {
            all.add(status(router));
        }
        return all;
    }

    /** Asks each router what it remembers about a request; those that can't be reached are passed over. */
    public List<ExplanationDocument> explain(String request) {
        requireRouters();
        List<ExplanationDocument> all = new ArrayList<>();
        List<MangowallException> failures = new ArrayList<>();
        for (HostAndPort router : routers) {
            try {
                RouterAnswer answer = connection().get(router, EXPLAIN_PATH + request);
                if (!answer.isSuccess()) {
                    throw answer.failure();
                }
                all.add(ExplanationDocument.parse(answer.body()));
            } catch (MangowallException failure) {
                failures.add(failure);
            }
        }
        if (all.isEmpty()) {
            throw unreachable(failures);
        }
        return all;
    }

    private RouterStatus status(HostAndPort router) {
        try {
            RouterAnswer answer = connection().get(router, STATUS_PATH);
            if (!answer.isSuccess()) {
                throw answer.failure();
            }
            return new RouterStatus.Answered(router, RouterStatusDocument.parse(answer.body()));
        } catch (MangowallException failure) {
            return new RouterStatus.Silent(router, failure);
        }
    }

    private RouterAnswer firstAnswer(Function<HostAndPort, RouterAnswer> call, boolean repeatable) {
        requireRouters();
        List<MangowallException> failures = new ArrayList<>();
        for (HostAndPort router : routers) {
            try {
                RouterAnswer answer = call.apply(router);
                if (answer.isSuccess() || !mayBeBetterElsewhere(answer.failure(), repeatable)) {
                    return answer;
                }
                failures.add(answer.failure());
            } catch (MangowallException failure) {
                if (!mayBeBetterElsewhere(failure, repeatable)) {
                    throw failure;
                }
                failures.add(failure);
            }
        }
        throw unreachable(failures);
    }

    private static boolean mayBeBetterElsewhere(MangowallException failure, boolean repeatable) {
        return switch (failure.failureCode()) {
            case ROUTERS_UNREACHABLE, NOT_READY, ROUTER_LEAVING, ROUTER_BUSY -> true;
            case PLATFORM_UNAVAILABLE, PLATFORM_RATE_LIMITED -> true;
            case PLATFORM_ANSWER_LOST -> repeatable;
            default -> false;
        };
    }

    private static MangowallException unreachable(List<MangowallException> failures) {
        StringBuilder detail = new StringBuilder("no router could answer");
        for (MangowallException failure : failures) {
            detail.append("\n  ").append(failure.getMessage());
        }
        FailureCode code = failures.stream()
                .map(MangowallException::failureCode)
                .filter(candidate -> candidate != FailureCode.PLATFORM_ANSWER_LOST)
                .findFirst()
                .orElse(FailureCode.ROUTERS_UNREACHABLE);
        return new MangowallException(code, detail.toString());
    }

    private void requireRouters() {
        if (routers.isEmpty()) {
            throw new MangowallException(FailureCode.USAGE, "no routers are named; give --routers or --settings");
        }
    }

    private RouterConnection connection() {
        if (connection == null) {
            connection = new RouterConnection(timeout, tokenFile);
        }
        return connection;
    }

    @Override
    public void close() {
        if (connection != null) {
            connection.close();
        }
    }
}
