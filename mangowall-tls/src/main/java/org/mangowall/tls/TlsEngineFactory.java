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
import org.mangowall.kernel.log.ComponentLog;

/**
 * Creates the TLS engine of each new connection from PEM files that may be replaced at run time.
 *
 * <p>The files are checked for changes with each new connection. New connections use changed files; if these are
 * invalid, the previous certificates stay in use and a warning is logged. Thread-safe.
 */
public final class TlsEngineFactory {

    private static final ComponentLog LOG = ComponentLog.of("tls");
    private static final String[] PROTOCOLS = {"TLSv1.3", "TLSv1.2"};

    private final TlsFiles files;
    private final boolean server;
    private List<FileState> fileStates;
    private SslContext context;

    private TlsEngineFactory(TlsFiles files, boolean server) {
        this.files = files;
        this.server = server;
        this.fileStates = readFileStates();
        try {
            this.context = buildContext();
        } catch (IOException | IllegalArgumentException failure) {
            throw new MangowallException(
                    FailureCode.SETTINGS_INVALID, "the TLS files can't be used: " + failure.getMessage(), failure);
        }
    }

    /**
     * Creates a factory for the server side of connections.
     *
     * @throws MangowallException with {@link FailureCode#SETTINGS_INVALID} if the files can't be used
     */
    public static TlsEngineFactory forServer(TlsFiles files) {
        return new TlsEngineFactory(files, true);
    }

    /**
     * Creates a factory for the client side of connections.
     *
     * @throws MangowallException with {@link FailureCode#SETTINGS_INVALID} if the files can't be used
     */
    public static TlsEngineFactory forClient(TlsFiles files) {
        return new TlsEngineFactory(files, false);
    }

    /** Creates the engine of an accepted connection. */
    public SSLEngine newServerEngine() {
        return currentContext().newEngine(ByteBufAllocator.DEFAULT);
    }

    /** Creates the engine of a connection to an address; the server's certificate must be valid for that address. */
    public SSLEngine newClientEngine(String host, int port) {
        SSLEngine engine = currentContext().newEngine(ByteBufAllocator.DEFAULT, host, port);
        SSLParameters parameters = engine.getSSLParameters();
        parameters.setEndpointIdentificationAlgorithm("HTTPS");
        engine.setSSLParameters(parameters);
        return engine;
    }

    private synchronized SslContext currentContext() {
        List<FileState> currentStates = readFileStates();
        if (currentStates.equals(fileStates)) {
            return context;
        }
        fileStates = currentStates;
        try {
            context = buildContext();
            LOG.info("reloaded the changed TLS files");
        } catch (IOException | IllegalArgumentException failure) {
            LOG.warn(
                    "the changed TLS files can't be used, the previous certificates stay in use: %s",
                    failure.getMessage());
        }
        return context;
    }

    private SslContext buildContext() throws SSLException {
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
                .orElseThrow(
                        () -> new IllegalArgumentException("the certificate file or the private key file is not set"));
    }

    private List<FileState> readFileStates() {
        List<FileState> currentStates = new ArrayList<>();
        Stream.of(files.certificateFile(), files.privateKeyFile(), files.trustFile())
                .flatMap(Optional::stream)
                .map(FileState::of)
                .forEach(currentStates::add);
        return currentStates;
    }

    private record FileState(Path file, long modifiedMillis, long sizeBytes) {

        static FileState of(Path file) {
            try {
                return new FileState(file, Files.getLastModifiedTime(file).toMillis(), Files.size(file));
            } catch (IOException missing) {
                return new FileState(file, 0, 0);
            }
        }
    }
}
