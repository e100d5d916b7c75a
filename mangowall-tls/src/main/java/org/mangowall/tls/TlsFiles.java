package org.mangowall.tls;

import java.nio.file.Path;
import java.util.Optional;

import org.mangowall.inventory.checked.CheckedTable;

/**
 * The PEM files that one side of a TLS connection uses.
 *
 * @param certificateFile the certificate chain of this side
 * @param privateKeyFile the private key of the certificate, in PKCS #8 without a password
 * @param trustFile the certificate authorities, one of which must have signed the other side's certificate
 */
public record TlsFiles(Optional<Path> certificateFile, Optional<Path> privateKeyFile, Optional<Path> trustFile) {

    private static final String CERTIFICATE_KEY = "certificate_file";
    private static final String PRIVATE_KEY_KEY = "private_key_file";
    private static final String TRUST_KEY = "trust_file";

    /**
     * Reads the settings of a server; empty if the table has no keys.
     *
     * <p>A server needs a certificate and its private key. If a trust file is set, clients must present a certificate
     * signed by one of its authorities.
     */
    public static Optional<TlsFiles> readServer(CheckedTable table) {
        TlsFiles files = read(table);
        if (files.isEmpty()) {
            return Optional.empty();
        }
        if (files.certificateFile.isEmpty()) {
            table.fault(CERTIFICATE_KEY, "the certificate of the server, because TLS is configured");
        }
        return Optional.of(files);
    }

    /**
     * Reads the settings of a client; empty if the table has no keys.
     *
     * <p>A client needs a trust file. If a certificate and its private key are set, it presents them to servers.
     */
    public static Optional<TlsFiles> readClient(CheckedTable table) {
        TlsFiles files = read(table);
        if (files.isEmpty()) {
            return Optional.empty();
        }
        if (files.trustFile.isEmpty()) {
            table.fault(TRUST_KEY, "the certificate authorities of servers, because TLS is configured");
        }
        return Optional.of(files);
    }

    /** Reads the settings of a peer, which is client and server and needs all files; empty if the table has no keys. */
    public static Optional<TlsFiles> readPeer(CheckedTable table) {
        Optional<TlsFiles> files = readServer(table);
        if (files.isPresent() && files.get().trustFile.isEmpty()) {
            table.fault(TRUST_KEY, "the certificate authorities of peers, because TLS is configured");
        }
        return files;
    }

    private static TlsFiles read(CheckedTable table) {
        TlsFiles files = new TlsFiles(
                table.optionalText(CERTIFICATE_KEY).map(Path::of),
                table.optionalText(PRIVATE_KEY_KEY).map(Path::of),
                table.optionalText(TRUST_KEY).map(Path::of));
        if (files.certificateFile.isPresent() != files.privateKeyFile.isPresent()) {
            table.fault(PRIVATE_KEY_KEY, "both " + CERTIFICATE_KEY + " and " + PRIVATE_KEY_KEY + ", or neither");
        }
        return files;
    }

    private boolean isEmpty() {
        return certificateFile.isEmpty() && privateKeyFile.isEmpty() && trustFile.isEmpty();
    }
}
