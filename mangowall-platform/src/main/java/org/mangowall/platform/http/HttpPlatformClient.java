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
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.HostEntry;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformSettings;
import org.mangowall.platform.VersionedObject;

/**
 * The platform over HTTP.
 *
 * <p>No call is repeated here. A write that ends without an answer is reported as lost, unless no connection came
 * about.
 */
public final class HttpPlatformClient implements PlatformClient {

    private static final int OK = 200;
    private static final int NOT_MODIFIED = 304;
    private static final int NOT_FOUND = 404;
    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";
    private static final int MAXIMUM_CONNECTIONS = 16;
    private static final Duration IDLE_CONNECTION_TIMEOUT = Duration.ofSeconds(20);

    private final AsyncHttpClient http;
    private final String base;
    private final Duration requestTimeout;

    /** Opens a client. */
    public HttpPlatformClient(PlatformSettings settings) {
        DefaultAsyncHttpClientConfig configuration = Dsl.config()
                .setThreadPoolName("mangowall-platform")
                .setIoThreadsCount(1)
                .setMaxRequestRetry(0)
                .setFollowRedirect(false)
                .setMaxConnectionsPerHost(MAXIMUM_CONNECTIONS)
                .setConnectTimeout(settings.connectTimeout())
                .setRequestTimeout(settings.requestTimeout())
                .setReadTimeout(Duration.ofMillis(-1))
                .setPooledConnectionIdleTimeout(IDLE_CONNECTION_TIMEOUT)
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
        return callToRead(http.prepareGet(address(object)), HttpPlatformClient::objectOf);
    }

    @Override
    public CompletableFuture<Long> write(ObjectName object, long expectedVersion, byte[] content) {
        BoundRequestBuilder request = http.preparePut(address(object))
                .setHeader(EXPECTED_VERSION_HEADER, Long.toString(expectedVersion))
                .setBody(content);
        return callToWrite(request, HttpPlatformClient::writtenVersion);
    }

    @Override
    public CompletableFuture<Optional<VersionedObject>> watch(ObjectName object, long afterVersion, Duration wait) {
        BoundRequestBuilder request = http.prepareGet(address(object))
                .addQueryParam("after", Long.toString(afterVersion))
                .addQueryParam("wait-millis", Long.toString(wait.toMillis()))
                .setRequestTimeout(wait.plus(requestTimeout));
        return callToRead(request, HttpPlatformClient::objectOf);
    }

    @Override
    public CompletableFuture<List<HostEntry>> hosts() {
        return callToRead(http.prepareGet(base + "/v1/hosts"), HttpPlatformClient::hostsOf);
    }

    @Override
    public CompletableFuture<Void> announce(HostEntry entry) {
        BoundRequestBuilder request =
                http.preparePut(base + "/v1/hosts/" + entry.name()).setBody(HostEntryCodec.encode(entry));
        return callToWrite(request, HttpPlatformClient::acknowledgement);
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the platform client did not close", failure);
        }
    }

    private String address(ObjectName object) {
        return base + "/v1/objects/" + object.kind() + "/" + object.name();
    }

    private <T> CompletableFuture<T> callToRead(BoundRequestBuilder request, Function<Response, T> decoder) {
        return request.execute().toCompletableFuture().handle((response, failure) -> {
            if (failure != null) {
                throw PlatformFailures.ofRead(failure);
            }
            return decoder.apply(response);
        });
    }

    private <T> CompletableFuture<T> callToWrite(BoundRequestBuilder request, Function<Response, T> decoder) {
        return request.execute().toCompletableFuture().handle((response, failure) -> {
            if (failure != null) {
                throw PlatformFailures.ofWrite(failure);
            }
            return decoder.apply(response);
        });
    }

    private static Optional<VersionedObject> objectOf(Response response) {
        return switch (response.getStatusCode()) {
            case OK ->
                Optional.of(new VersionedObject(
                        version(response, FailureCode.PLATFORM_UNAVAILABLE), response.getResponseBodyAsBytes()));
            case NOT_FOUND, NOT_MODIFIED -> Optional.empty();
            default -> throw PlatformFailures.ofReadStatus(response.getStatusCode());
        };
    }

    private static long writtenVersion(Response response) {
        if (response.getStatusCode() != OK) {
            throw PlatformFailures.ofWriteStatus(response.getStatusCode());
        }
        return version(response, FailureCode.PLATFORM_ANSWER_LOST);
    }

    private static List<HostEntry> hostsOf(Response response) {
        if (response.getStatusCode() != OK) {
            throw PlatformFailures.ofReadStatus(response.getStatusCode());
        }
        return HostEntryCodec.decodeList(response.getResponseBodyAsBytes());
    }

    private static Void acknowledgement(Response response) {
        if (response.getStatusCode() != OK) {
            throw PlatformFailures.ofWriteStatus(response.getStatusCode());
        }
        return null;
    }

    private static long version(Response response, FailureCode codeWhenMissing) {
        try {
            return Long.parseLong(response.getHeader(VERSION_HEADER));
        } catch (NumberFormatException failure) {
            throw new CompletionException(
                    new MangowallException(codeWhenMissing, "the platform's answer names no object version", failure));
        }
    }
}
