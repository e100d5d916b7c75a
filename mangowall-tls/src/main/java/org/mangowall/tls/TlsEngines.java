package org.mangowall.tls;

import javax.net.ssl.SSLEngine;
import javax.net.ssl.SSLException;
import javax.net.ssl.SSLParameters;

import java.io.File;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.stream.Stream;

import io.netty.buffer.ByteBufAllocator;
import io.netty.handler.ssl.ClientAuth;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.ssl.SslContextBuilder;
import io.netty.handler.ssl.SslProvider;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.log.PartLog;

/**
 * Makes the TLS engine of each new connection from files that may change while the process runs.
 *
 * <p>The files are looked at for each new connection. When they changed and can be read, new connections use them; when
 * they can't be read, the former ones stay in use and a warning is logged. Safe for use by several threads.
 */
public final class TlsEngines {

    private static final PartLog LOG = PartLog.of("tls");
    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final TlsFiles files;
    private final boolean server;
    private List<FileState> states;
    private SslContext context;

    private TlsEngines(TlsFiles files, boolean server) {
        this.files = files;
        this.server = server;
        this.states = readStates();
        try {
            this.context = build();
        } catch (IOException | IllegalArgumentException failure) {
            throw new MangowallException(
                    FailureCode.SETTINGS_INVALID, "the TLS files can't be used: " + failure.getMessage(), failure);
        }
    }

    /**
     * Engines of a server.
     *
     * @throws MangowallException with {@link FailureCode#SETTINGS_INVALID} when the files can't be used
     */
    public static TlsEngines forServer(TlsFiles files) {
        return new TlsEngines(files, true);
    }

    /**
     * Engines of a client.
     *
     * @throws MangowallException with {@link FailureCode#SETTINGS_INVALID} when the files can't be used
     */
    public static TlsEngines forClient(TlsFiles files) {
        return new TlsEngines(files, false);
    }

    /** The engine for a connection that came in. */
    public SSLEngine newServerEngine() {
        return current().newEngine(ByteBufAllocator.DEFAULT);
    }

    /** The engine for a connection to an address; the other side's certificate must name that address. */
    public SSLEngine newClientEngine(String host, int port) {
        SSLEngine engine = current().newEngine(ByteBufAllocator.DEFAULT, host, port);
        SSLParameters parameters = engine.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        engine.setSSLParameters(parameters);
        return engine;
    }

    private synchronized SslContext current() {
        List<FileState> present = readStates();
        if (present.equals(states)) {
            return context;
        }
        states = present;
        try {
            context = build();
            LOG.info("new certificates are in use");
        } catch (IOException | IllegalArgumentException failure) {
            LOG.warn("changed TLS files can't be used, the former ones stay: %s", failure.getMessage());
        }
        return context;
    }

    private SslContext build() throws SSLException {
        SslContextBuilder builder = server
                ? SslContextBuilder.forServer(fileOf(files.certificateFile()), fileOf(files.privateKeyFile()))
                : SslContextBuilder.forClient();
        if (!server && files.certificateFile().isPresent()) {
            builder.keyManager(fileOf(files.certificateFile()), fileOf(files.privateKeyFile()));
        }
        if (files.trustFile().isPresent()) {
            builder.trustManager(fileOf(files.trustFile()));
        }
        if (server && files.trustFile().isPresent()) {
            builder.clientAuth(ClientAuth.REQUIRE);
        }
        return builder.sslProvider(SslProvider.JDK).protocols(PROTOCOLS).build();
    }

    private static File fileOf(Optional<Path> path) {
        return path.map(Path::toFile)
                .orElseThrow(() -> new IllegalArgumentException("a certificate or key file is not named"));
    }

    private List<FileState> readStates() {
        List<FileState> present = new ArrayList<>();
        Stream.of(files.certificateFile(), files.privateKeyFile(), files.trustFile())
                .flatMap(Optional::stream)
                .map(FileState::of)
                .forEach(present::add);
        return present;
    }

    private record FileState(Path file, long modifiedMilliseconds, long bytes) {

        static FileState of(Path file) {
            try {
                return new FileState(file, Files.getLastModifiedTime(file).toMillis(), Files.size(file));
            } catch (IOException missing) {
                return new FileState(file, 0, 0);
            }
        }
    }
}
