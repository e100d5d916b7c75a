package org.mangowall.platform.http;

import java.io.IOException;
import java.time.Duration;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CompletionException;
import java.util.function.Function;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.BoundRequestBuilder;
import org.asynchttpclient.DefaultAsyncHttpClientConfig;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Response;
import org.mangowall.http.StrictHttpClients;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformSettings;
import org.mangowall.platform.VersionedObject;

/**
 * A client of the platform's HTTP API.
 *
 * <p>Calls are not retried. A write without a response fails with {@code PLATFORM_ANSWER_LOST}, unless no connection
 * was established. Each call has its own connection: a response doesn't tell which call it belongs to, so that on a
 * connection used before it could be a late copy of an earlier one.
 */
public final class HttpPlatformClient implements PlatformClient {

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";
    private static final int MAXIMUM_CONNECTIONS_PER_HOST = 16;

    private final AsyncHttpClient http;
    private final String base;
    private final Duration requestTimeout;

    /** Creates a client; connections are opened by calls. */
    public HttpPlatformClient(PlatformSettings settings) {
        DefaultAsyncHttpClientConfig configuration = Dsl.config()
                .setThreadPoolName("mangowall-platform")
                .setIoThreadsCount(1)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setMaxConnectionsPerHost(MAXIMUM_CONNECTIONS_PER_HOST)
                .setConnectTimeout(settings.connectTimeout())
                .setRequestTimeout(settings.requestTimeout())
                .setReadTimeout(Duration.ofMillis(-1))
                .setKeepAlive(false)
                .setKeepAliveStrategy((address, request, sentRequest, response) -> false)
                .setHttpAdditionalChannelInitializer(StrictHttpClients::readStrictly)
                .build();
        this.http = Dsl.asyncHttpClient(configuration);
        this.base = withoutTrailingSlash(settings.endpoint().toString());
        this.requestTimeout = settings.requestTimeout();
    }

    private static String withoutTrailingSlash(String endpoint) {
        return endpoint.endsWith("/") ? endpoint.substring(0, endpoint.length() - 1) : endpoint;
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> read(ObjectName object) {
        return executeRead(http.prepareGet(objectUrl(object)), HttpPlatformClient::parseObject);
    }

    @Override
    public CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content) {
        BoundRequestBuilder request = http.preparePut(objectUrl(object))
                .setHeader(EXPECTED_VERSION_HEADER, Long.toString(expectedVersion))
                .setBody(content);
        return executeWrite(request, HttpPlatformClient::parseWrittenVersion);
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> watch(ObjectName object, long afterVersion, Duration wait) {
        BoundRequestBuilder request = http.prepareGet(objectUrl(object))
                .addQueryParam("after", Long.toString(afterVersion))
                .addQueryParam("wait-millis", Long.toString(wait.toMillis()))
                .setRequestTimeout(wait.plus(requestTimeout));
        return executeRead(request, HttpPlatformClient::parseObject);
    }

    @Override
    public CompletableFuture<List<HostEntry>> hosts() {
        return executeRead(http.prepareGet(base + "/v1/hosts"), HttpPlatformClient::parseHosts);
    }

    @Override
    public CompletableFuture<Void> announce(HostEntry entry) {
        BoundRequestBuilder request =
                http.preparePut(base + "/v1/hosts/" + entry.name()).setBody(HostEntryCodec.encode(entry));
        return executeWrite(request, HttpPlatformClient::checkWritten);
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the platform client did not close", failure);
        }
    }

    private String objectUrl(ObjectName object) {
        return base + "/v1/objects/" + object.kind() + "/" + object.name();
    }

    private <T> CompletableFuture<T> executeRead(BoundRequestBuilder request, Function<Response, T> parser) {
        return request.execute().toCompletableFuture().handle((response, failure) -> {
            if (failure != null) {
                throw PlatformFailures.ofRead(failure);
            }
            return parser.apply(response);
        });
    }

    private <T> CompletableFuture<T> executeWrite(BoundRequestBuilder request, Function<Response, T> parser) {
        return request.execute().toCompletableFuture().handle((response, failure) -> {
            if (failure != null) {
                throw PlatformFailures.ofWrite(failure);
            }
            return parser.apply(response);
        });
    }

    private static Optional<VersionedObject> parseObject(Response response) {
        return switch (response.getStatusCode()) {
            case OK ->
                Optional.of(new VersionedObject(
                        parseVersion(response, FailureCode.PLATFORM_UNAVAILABLE), response.getResponseBodyAsBytes()));
            case NOT_FOUND, NOT_MODIFIED -> Optional.empty();
            default -> throw PlatformFailures.ofReadStatus(response.getStatusCode());
        };
    }

    private static long parseWrittenVersion(Response response) {
        if (response.getStatusCode() != OK) {
            throw PlatformFailures.ofWriteStatus(response.getStatusCode());
        }
        return parseVersion(response, FailureCode.PLATFORM_ANSWER_LOST);
    }

    private static List<HostEntry> parseHosts(Response response) {
        if (response.getStatusCode() != OK) {
            throw PlatformFailures.ofReadStatus(response.getStatusCode());
        }
        return HostEntryCodec.decodeList(response.getResponseBodyAsBytes());
    }

    private static Void checkWritten(Response response) {
        if (response.getStatusCode() != OK) {
            throw PlatformFailures.ofWriteStatus(response.getStatusCode());
        }
        return null;
    }

    private static long parseVersion(Response response, FailureCode codeWhenMissing) {
        try {
            return Long.parseLong(response.getHeader(VERSION_HEADER));
        } catch (NumberFormatException failure) {
            throw new CompletionException(
                    new MangowallException(codeWhenMissing, "the platform's answer names no object version", failure));
        }
    }
}
