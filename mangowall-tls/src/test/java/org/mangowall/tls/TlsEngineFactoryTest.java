package org.mangowall.tls;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.Optional;

import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.ssl.SslHandler;
import io.netty.util.ReferenceCountUtil;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.mangowall.inventory.checked.CheckedTable;
import org.mangowall.inventory.checked.SettingsException;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

class TlsEngineFactoryTest {

    private static final Path CERTIFICATES = Path.of("src", "test", "resources", "certificates");
    private static final String SERVER_ADDRESS = "127.0.0.1";

    @TempDir
    private Path folder;

    private TlsFiles serverFiles;

    @BeforeEach
    void copyServerFiles() throws IOException {
        install("fleet");
        serverFiles = new TlsFiles(
                Optional.of(folder.resolve("router.pem")), Optional.of(folder.resolve("router.key")), Optional.empty());
    }

    @Test
    void aClientThatTrustsTheAuthorityConnects() {
        assertTrue(connects(
                TlsEngineFactory.forServer(serverFiles),
                TlsEngineFactory.forClient(trusting("fleet")),
                SERVER_ADDRESS));
    }

    @Test
    void aClientThatTrustsAnotherAuthorityDoesNotConnect() {
        assertFalse(connects(
                TlsEngineFactory.forServer(serverFiles),
                TlsEngineFactory.forClient(trusting("stranger")),
                SERVER_ADDRESS));
    }

    @Test
    void aCertificateForAnotherAddressIsRefused() {
        assertFalse(connects(
                TlsEngineFactory.forServer(serverFiles), TlsEngineFactory.forClient(trusting("fleet")), "127.0.0.2"));
    }

    @Test
    void aServerWithATrustFileRequiresAClientCertificate() {
        TlsFiles withTrustFile = new TlsFiles(
                serverFiles.certificateFile(),
                serverFiles.privateKeyFile(),
                trusting("fleet").trustFile());
        TlsEngineFactory server = TlsEngineFactory.forServer(withTrustFile);
        assertFalse(connects(server, TlsEngineFactory.forClient(trusting("fleet")), SERVER_ADDRESS));
        assertFalse(connects(server, TlsEngineFactory.forClient(presenting("stranger")), SERVER_ADDRESS));
        assertTrue(connects(server, TlsEngineFactory.forClient(presenting("fleet")), SERVER_ADDRESS));
    }

    @Test
    void changedFilesAreUsedForNewConnections() throws IOException {
        TlsEngineFactory server = TlsEngineFactory.forServer(serverFiles);
        TlsEngineFactory client = TlsEngineFactory.forClient(trusting("stranger"));
        assertFalse(connects(server, client, SERVER_ADDRESS));
        install("stranger");
        assertTrue(connects(server, client, SERVER_ADDRESS));
    }

    @Test
    void invalidChangedFilesLeaveThePreviousCertificatesInUse() throws IOException {
        TlsEngineFactory server = TlsEngineFactory.forServer(serverFiles);
        Files.writeString(folder.resolve("router.key"), "half a key");
        assertTrue(connects(server, TlsEngineFactory.forClient(trusting("fleet")), SERVER_ADDRESS));
    }

    @Test
    void invalidFilesAtTheStartAreRefused() throws IOException {
        Files.writeString(folder.resolve("router.pem"), "no certificate");
        MangowallException failure =
                assertThrows(MangowallException.class, () -> TlsEngineFactory.forServer(serverFiles));
        assertEquals(FailureCode.SETTINGS_INVALID, failure.failureCode());
    }

    @Test
    void missingSettingsAreReported() {
        CheckedTable table = CheckedTable.parseToml("router.toml", """
                [caller.tls]
                certificate_file = "router.pem"
                [runner.tls]
                certificate_file = "router.pem"
                private_key_file = "router.key"
                [peer.tls]
                certificate_file = "router.pem"
                private_key_file = "router.key"
                [operator.tls]
                """);
        TlsFiles.readServer(table.table("caller").table("tls"));
        TlsFiles.readClient(table.table("runner").table("tls"));
        TlsFiles.readPeer(table.table("peer").table("tls"));
        assertEquals(
                Optional.empty(), TlsFiles.readServer(table.table("operator").table("tls")));
        SettingsException failure = assertThrows(SettingsException.class, table::finish);
        assertEquals(
                "[caller.tls.private_key_file, runner.tls.trust_file, peer.tls.trust_file]",
                failure.faults().stream().map(fault -> fault.key()).toList().toString());
    }

    private void install(String authority) throws IOException {
        for (String extension : new String[] {"pem", "key"}) {
            Path target = folder.resolve("router." + extension);
            Files.copy(
                    CERTIFICATES.resolve(authority + "-router." + extension),
                    target,
                    StandardCopyOption.REPLACE_EXISTING);
            Files.setLastModifiedTime(target, FileTime.fromMillis(authority.hashCode() & Integer.MAX_VALUE));
        }
    }

    private static TlsFiles trusting(String authority) {
        Path trust = CERTIFICATES.resolve(authority + "-authority.pem");
        return new TlsFiles(Optional.empty(), Optional.empty(), Optional.of(trust));
    }

    private static TlsFiles presenting(String authority) {
        return new TlsFiles(
                Optional.of(CERTIFICATES.resolve(authority + "-router.pem")),
                Optional.of(CERTIFICATES.resolve(authority + "-router.key")),
                Optional.of(CERTIFICATES.resolve("fleet-authority.pem")));
    }

    private static boolean connects(TlsEngineFactory server, TlsEngineFactory client, String address) {
        SslHandler serverHandler = new SslHandler(server.newServerEngine());
        SslHandler clientHandler = new SslHandler(client.newClientEngine(address, 443));
        EmbeddedChannel serverChannel = new EmbeddedChannel(serverHandler);
        EmbeddedChannel clientChannel = new EmbeddedChannel(clientHandler);
        boolean isProgressing = true;
        while (isProgressing) {
            isProgressing = transferMessage(clientChannel, serverChannel);
            isProgressing |= transferMessage(serverChannel, clientChannel);
        }
        return serverHandler.handshakeFuture().isSuccess()
                && clientHandler.handshakeFuture().isSuccess()
                && serverChannel.isOpen()
                && clientChannel.isOpen();
    }

    private static boolean transferMessage(EmbeddedChannel from, EmbeddedChannel to) {
        from.runPendingTasks();
        Object message = from.readOutbound();
        if (message == null) {
            return false;
        }
        if (!to.isOpen()) {
            ReferenceCountUtil.release(message);
            return true;
        }
        try {
            to.writeInbound(message);
        } catch (RuntimeException refused) {
            to.close();
        }
        return true;
    }
}
