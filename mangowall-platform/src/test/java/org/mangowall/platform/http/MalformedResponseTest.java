package org.mangowall.platform.http;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.concurrent.CompletionException;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.ObjectName;
import org.mangowall.platform.PlatformClient;
import org.mangowall.platform.PlatformSettings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertThrows;

/** Guards against taking a write for done because of bytes that are no HTTP. */
class MalformedResponseTest {

    private static void respond(ServerSocket server, String response) {
        try (Socket socket = server.accept()) {
            socket.getInputStream().read(new byte[1 << 16]);
            socket.getOutputStream().write(response.getBytes(StandardCharsets.ISO_8859_1));
        } catch (IOException closed) {
            // The client closed the connection.
        }
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "HTTP/1.1 0200 OK|x-object-version: 7",
                "HTTP/1.1  200 OK|x-object-version: 7",
                "HTTP/2.0 200 OK|x-object-version: 7",
                "HTTP/1.1 200 OK|x-object-version: 7|content length: 3",
                "HTTP/1.1 200 OK|x-object-version : 7",
                "HTTP/1.1 200 OK|x-object-version: 7|x name: v"
            })
    void aWriteWithAMalformedResponseHasAnUnknownOutcome(String lines) throws Exception {
        String response = lines.replace("|", "\r\n") + "\r\ncontent-length: 0\r\n\r\n";
        try (ServerSocket server = new ServerSocket(0, 10, InetAddress.getLoopbackAddress());
                PlatformClient client = new HttpPlatformClient(new PlatformSettings(
                        URI.create("http://127.0.0.1:" + server.getLocalPort()),
                        Duration.ofSeconds(5),
                        Duration.ofSeconds(5)))) {
            Thread.ofVirtual().start(() -> respond(server, response));
            CompletionException failure = assertThrows(
                    CompletionException.class,
                    () -> client.write(new ObjectName("configuration", "inventory"), 6, new byte[] {'{', '}'})
                            .join());
            MangowallException cause = assertInstanceOf(MangowallException.class, failure.getCause());
            assertEquals(FailureCode.PLATFORM_ANSWER_LOST, cause.failureCode());
        }
    }
}
