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
import org.mangowall.inventory.checked.HostAndPort;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Single calls to one router at a time; it neither repeats nor fails over. */
final class RouterConnection implements AutoCloseable {

    private static final String VERSION_HEADER = "x-object-version";
    private static final String EXPECTED_VERSION_HEADER = "x-expected-version";

    private final AsyncHttpClient http;
    private final Optional<String> token;

    RouterConnection(Duration timeout, Optional<Path> tokenFile) {
        this.token = tokenFile.map(RouterConnection::readToken);
        this.http = Dsl.asyncHttpClient(Dsl.config()
                .setThreadPoolName("mangowall-command")
                .setIoThreadsCount(1)
                .setMaxRequestRetry(0)
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

    /** Asks for a path. */
    RouterAnswer get(HostAndPort router, String path) {
        return call(router, builder(router, "GET", path).build());
    }

    /** Writes to a path on the condition that the version is the expected one. */
    RouterAnswer put(HostAndPort router, String path, long expectedVersion, byte[] body) {
        RequestBuilder builder = builder(router, "PUT", path)
                .setHeader(EXPECTED_VERSION_HEADER, Long.toString(expectedVersion))
                .setHeader("content-type", "application/json")
                .setBody(body);
        return call(router, builder.build());
    }

    private RequestBuilder builder(HostAndPort router, String method, String path) {
        RequestBuilder builder = new RequestBuilder(method).setUrl("http://" + router + path);
        token.ifPresent(value -> builder.setHeader("authorization", "Bearer " + value));
        return builder;
    }

    private RouterAnswer call(HostAndPort router, Request request) {
        try {
            Response response = http.executeRequest(request).get();
            return new RouterAnswer(
                    router, response.getStatusCode(), version(response), response.getResponseBodyAsBytes());
        } catch (ExecutionException failure) {
            throw notAnswered(router, failure.getCause());
        } catch (InterruptedException interruption) {
            Thread.currentThread().interrupt();
            throw new MangowallException(FailureCode.PLATFORM_ANSWER_LOST, "interrupted", interruption);
        }
    }

    private static MangowallException notAnswered(HostAndPort router, Throwable cause) {
        if (cause instanceof ConnectException) {
            return new MangowallException(
                    FailureCode.ROUTERS_UNREACHABLE, router + " can't be reached: no connection", cause);
        }
        return new MangowallException(
                FailureCode.PLATFORM_ANSWER_LOST, router + " gave no whole answer in time", cause);
    }

    private static long version(Response response) {
        String text = response.getHeader(VERSION_HEADER);
        if (text == null || !text.matches("[0-9]{1,18}")) {
            return 0;
        }
        return Long.parseLong(text);
    }

    @Override
    public void close() {
        try {
            http.close();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "the HTTP client can't be closed", failure);
        }
    }
}
