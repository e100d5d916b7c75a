package org.mangowall.router.caller;

import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.netty.buffer.ByteBufUtil;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import org.mangowall.inventory.Inventory;
import org.mangowall.inventory.Service;
import org.mangowall.inventory.ServiceKind;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.ServiceName;
import org.mangowall.kernel.name.WorkspaceName;
import org.mangowall.router.runner.HeaderRules;
import org.mangowall.router.runner.RequestContent;

/** Parses callers' requests and validates them against the inventory. */
final class RequestParser {

    static final String CHAT_PATH = "/v1/chat/completions";
    static final String SERVICES_PREFIX = "/services/";

    private static final String WORKSPACE_HEADER = "x-workspace";
    private static final String IDEMPOTENCY_KEY_HEADER = "idempotency-key";
    private static final String COST_HEADER = "x-cost-hint";
    private static final String REPEATABLE_HEADER = "x-repeatable";
    private static final int MAXIMUM_KEY_CHARACTERS = 255;
    private static final double MAXIMUM_COST_HINT = 1e9;
    private static final Set<String> REPEATABLE_METHODS = Set.of("GET", "HEAD", "PUT", "DELETE", "OPTIONS");
    private static final List<String> NOT_FORWARDED_HEADERS =
            List.of(WORKSPACE_HEADER, COST_HEADER, REPEATABLE_HEADER, "content-length", "x-mangowall-request");

    private final Inventory inventory;

    RequestParser(Inventory inventory) {
        this.inventory = inventory;
    }

    /**
     * Parses and validates a request.
     *
     * @throws MangowallException with the code of the first error found
     */
    ParsedRequest parse(FullHttpRequest request) {
        WorkspaceName workspace = workspace(request.headers());
        byte[] body = ByteBufUtil.getBytes(request.content());
        if (request.uri().equals(CHAT_PATH)) {
            return parseChat(request, workspace, body);
        }
        if (request.uri().startsWith(SERVICES_PREFIX)) {
            return parsePlain(request, workspace, body);
        }
        throw new MangowallException(FailureCode.PATH_UNKNOWN, "no such path");
    }

    private WorkspaceName workspace(HttpHeaders headers) {
        List<String> values = headers.getAll(WORKSPACE_HEADER);
        if (values.size() != 1) {
            throw new MangowallException(
                    FailureCode.WORKSPACE_MISSING, "the header " + WORKSPACE_HEADER + " must name one workspace");
        }
        WorkspaceName name = new WorkspaceName(values.get(0).strip());
        if (inventory.workspace(name).isEmpty()) {
            throw new MangowallException(FailureCode.WORKSPACE_UNKNOWN, "no workspace is named " + name);
        }
        return name;
    }

    private ParsedRequest parseChat(FullHttpRequest request, WorkspaceName workspace, byte[] body) {
        if (!request.method().equals(HttpMethod.POST)) {
            throw new MangowallException(FailureCode.PATH_UNKNOWN, "a chat completion is asked for with POST");
        }
        ChatRequest chat = ChatRequest.read(body);
        Service service = service(chat.model(), ServiceKind.MODEL);
        return createParsedRequest(request, workspace, service, CHAT_PATH, body, true, chat.prefixHash());
    }

    private ParsedRequest parsePlain(FullHttpRequest request, WorkspaceName workspace, byte[] body) {
        String rest = request.uri().substring(SERVICES_PREFIX.length());
        int slash = rest.indexOf('/');
        if (slash < 0) {
            throw new MangowallException(FailureCode.PATH_UNKNOWN, "the path of the service is missing");
        }
        Service service = service(rest.substring(0, slash), ServiceKind.PLAIN);
        boolean repeatable = REPEATABLE_METHODS.contains(request.method().name());
        return createParsedRequest(request, workspace, service, rest.substring(slash), body, repeatable, 0);
    }

    private Service service(String text, ServiceKind kind) {
        ServiceName name = new ServiceName(text);
        Optional<Service> service = inventory.service(name).filter(found -> found.kind() == kind);
        return service.orElseThrow(
                () -> new MangowallException(FailureCode.SERVICE_UNKNOWN, "no such service is named " + name));
    }

    private static ParsedRequest createParsedRequest(
            FullHttpRequest request,
            WorkspaceName workspace,
            Service service,
            String path,
            byte[] body,
            boolean repeatableByDefault,
            long prefixHash) {
        HttpHeaders headers = request.headers();
        RequestContent content = new RequestContent(
                request.method().name(), path, HeaderRules.endToEnd(headers, NOT_FORWARDED_HEADERS), body);
        return new ParsedRequest(
                workspace,
                service,
                content,
                repeatable(headers.get(REPEATABLE_HEADER), repeatableByDefault),
                costHint(headers.get(COST_HEADER)),
                prefixHash,
                idempotencyKey(headers.get(IDEMPOTENCY_KEY_HEADER)));
    }

    private static boolean repeatable(String text, boolean byDefault) {
        if (text == null) {
            return byDefault;
        }
        return switch (text.strip()) {
            case "yes" -> true;
            case "no" -> false;
            default ->
                throw new MangowallException(
                        FailureCode.MALFORMED_REQUEST, "the header " + REPEATABLE_HEADER + " must be yes or no");
        };
    }

    private static double costHint(String text) {
        if (text == null) {
            return 0;
        }
        try {
            double hint = Double.parseDouble(text.strip());
            if (hint >= 0 && hint <= MAXIMUM_COST_HINT) {
                return hint;
            }
        } catch (NumberFormatException failure) {
            throw invalidCostHint();
        }
        throw invalidCostHint();
    }

    private static MangowallException invalidCostHint() {
        return new MangowallException(
                FailureCode.MALFORMED_REQUEST, "the header " + COST_HEADER + " must be a number of at least 0");
    }

    private static Optional<String> idempotencyKey(String text) {
        if (text == null) {
            return Optional.empty();
        }
        if (text.isBlank() || text.length() > MAXIMUM_KEY_CHARACTERS) {
            throw new MangowallException(
                    FailureCode.MALFORMED_REQUEST,
                    "the header " + IDEMPOTENCY_KEY_HEADER + " must have 1 to " + MAXIMUM_KEY_CHARACTERS
                            + " characters");
        }
        return Optional.of(text);
    }
}
