package org.mangowall.command.client;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.time.Duration;
import java.util.Optional;
import java.util.concurrent.ExecutionException;

import org.asynchttpclient.AsyncHttpClient;
import org.asynchttpclient.Dsl;
import org.asynchttpclient.Request;
import org.asynchttpclient.RequestBuilder;
import org.asynchttpclient.Response;
import org.mangowall.http.StrictHttpClients;
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Sends single HTTP requests to routers, without retries or failover. */
final class RouterHttpClient implements AutoCloseable {

    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";

    private final AsyncHttpClient httpClient;
    private final Optional<String> token;

    RouterHttpClient(Duration timeout, Optional<Path> tokenFile) {
        this.token = tokenFile.map(RouterHttpClient::readToken);
        this.httpClient = Dsl.asyncHttpClient(Dsl.config()
                .setThreadPoolName("mangowall-command")
                .setIoThreadsCount(1)
                .setMaxRequestRetry(0)
                .setHttpAdditionalChannelInitializer(StrictHttpClients::readStrictly)
                .setConnectTimeout(timeout)
                .setReadTimeout(timeout)
                .setRequestTimeout(timeout)
                .build());
    }

    private static String readToken(Path file) {
        try {
            return Files.readString(file).strip();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.USAGE, "the token file " + file + " can't be read", failure);
        }
    }

    /** Sends a GET request. */
    RouterResponse get(HostAndPort router, String path) {
        return call(router, requestBuilder(router, "GET", path).build());
    }

    /** Sends a PUT request that takes effect only if the stored version is the expected one. */
    RouterResponse put(HostAndPort router, String path, long expectedVersion, byte[] body) {
        RequestBuilder requestBuilder = requestBuilder(router, "PUT", path)
                .setHeader(EXPECTED_VERSION_HEADER, Long.toString(expectedVersion))
                .setHeader("content-type", "application/json")
                .setBody(body);
        return call(router, requestBuilder.build());
    }

    private RequestBuilder requestBuilder(HostAndPort router, String method, String path) {
        RequestBuilder requestBuilder = new RequestBuilder(method).setUrl("http://" + router + path);
        token.ifPresent(value -> requestBuilder.setHeader("authorization", "Bearer " + value));
        return requestBuilder;
    }

    private RouterResponse call(HostAndPort router, Request request) {
        try {
            Response response = httpClient.executeRequest(request).get();
            return new RouterResponse(
                    router, response.getStatusCode(), objectVersion(response), response.getResponseBodyAsBytes());
        } catch (ExecutionException failure) {
            throw callFailure(router, failure.getCause());
        } catch (InterruptedException exception) {
            Thread.currentThread().interrupt();
            throw new MangowallException(FailureCode.PLATFORM_ANSWER_LOST, "interrupted", exception);
        }
    }

    private static MangowallException callFailure(HostAndPort router, Throwable cause) {
        if (cause instanceof ConnectException) {
            return new MangowallException(
                    FailureCode.ROUTERS_UNREACHABLE, router + " can't be reached: no connection", cause);
        }
        return new MangowallException(
                FailureCode.PLATFORM_ANSWER_LOST, router + " gave no whole answer in time", cause);
    }

    private static long objectVersion(Response response) {
        String text = response.getHeader(VERSION_HEADER);
        if (text == null || !text.matches("[0-9]{1,18}")) {
            return 0;
        }
        return Long.parseLong(text);
    }

    @Override
    public void close() {
        try {
            httpClient.close();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the HTTP client can't be closed", failure);
        }
    }
}
