package org.mangowall.edge.traffic;

import java.util.Optional;

import io.netty.handler.codec.http.HttpRequest;
import org.mangowall.edge.model.CallerRequest;
import org.mangowall.edge.model.Route;
import org.mangowall.edge.model.RouteTable;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Finds the route and the workspace of a caller's request. */
final class RequestResolver {

    /** Retry-After while the host has no configuration yet. */
    private static final double NOT_READY_RETRY_AFTER_MILLIS = 500;
    /** Retry-After while the host shuts down; other hosts have taken over by then. */
    private static final double LEAVING_RETRY_AFTER_MILLIS = 50;

    private final EdgeContext context;

    RequestResolver(EdgeContext context) {
        this.context = context;
    }

    /**
     * What is known of a request.
     *
     * @param failure why the request is rejected; empty if it may be placed
     * @param request the decoded request; empty if it is malformed
     * @param route its route; empty if none was found
     * @param workspace the workspace of its API key
     */
    record Resolution(
            Optional<FailureCode> failure,
            Optional<CallerRequest> request,
            Optional<Route> route,
            Optional<String> workspace) {

        /** The time within which a request that may be placed must be answered. */
        double timeoutMillis() {
            double timeout = route.orElseThrow().timeout().toMillis();
            return request.orElseThrow()
                    .callerTimeout()
                    .map(time -> Math.min(timeout, time.toNanos() / Exchange.NANOS_PER_MILLI))
                    .orElse(timeout);
        }

        private static Resolution failed(FailureCode code, Optional<CallerRequest> request, Optional<Route> route) {
            return new Resolution(Optional.of(code), request, route, Optional.empty());
        }
    }

    /** Returns when a caller should come back after a failure; 0 if a retry is of no use. */
    static double retryAfterMillis(FailureCode failure) {
        return switch (failure) {
            case NOT_READY -> NOT_READY_RETRY_AFTER_MILLIS;
            case ROUTER_LEAVING -> LEAVING_RETRY_AFTER_MILLIS;
            default -> 0;
        };
    }

    Resolution resolve(HttpRequest head) {
        Optional<CallerRequest> request;
        try {
            request = Optional.of(context.messages().readRequest(head));
        } catch (MangowallException malformed) {
            return Resolution.failed(malformed.failureCode(), Optional.empty(), Optional.empty());
        }
        Optional<RouteTable> table = context.table();
        if (table.isEmpty()) {
            return Resolution.failed(FailureCode.NOT_READY, request, Optional.empty());
        }
        if (context.lifecycle().isRejecting()) {
            return Resolution.failed(FailureCode.ROUTER_LEAVING, request, Optional.empty());
        }
        Optional<Route> route =
                table.get().find(request.get().hostName(), request.get().path());
        if (route.isEmpty()) {
            return Resolution.failed(FailureCode.PATH_UNKNOWN, request, route);
        }
        if (route.get().isOpen() || !table.get().needsKeys()) {
            return new Resolution(Optional.empty(), request, route, Optional.empty());
        }
        Optional<String> workspace = request.get().key().flatMap(table.get()::workspaceOf);
        return workspace.isEmpty()
                ? Resolution.failed(FailureCode.NOT_AUTHENTICATED, request, route)
                : new Resolution(Optional.empty(), request, route, workspace);
    }
}
