package org.mangowall.tls;

import java.nio.file.Path;
import java.util.Optional;

import org.mangowall.inventory.checked.CheckedTable;

/**
 * The PEM files of one side of a connection.
 *
 * @param certificateFile the own certificate chain
 * @param privateKeyFile the private key of the own certificate, in PKCS 8 without a password
 * @param trustFile the certificates of the authorities that the other side must be signed by
 */
public record TlsFiles(Optional<Path> certificateFile, Optional<Path> privateKeyFile, Optional<Path> trustFile) {

    private static final String CERTIFICATE_KEY = "certificate_file";
    private static final String PRIVATE_KEY_KEY = "private_key_file";
    private static final String TRUST_KEY = "trust_file";

    /**
     * Reads the table of a server; empty when it has no keys.
     *
     * <p>A server needs a certificate with its key. With a trust file it lets only those clients in that show a
     * certificate signed by one of its authorities.
     */
    public static Optional<TlsFiles> readServer(CheckedTable table) {
        TlsFiles files = read(table);
        if (files.isEmpty()) {
            return Optional.empty();
        }
        if (files.certificateFile.isEmpty()) {
            table.fault(CERTIFICATE_KEY, "the server's certificate, for TLS is asked for");
        }
        return Optional.of(files);
    }

    /**
     * Reads the table of a client; empty when it has no keys.
     *
     * <p>A client needs a trust file. With a certificate and its key it shows who it is.
     */
    public static Optional<TlsFiles> readClient(CheckedTable table) {
        TlsFiles files = read(table);
        if (files.isEmpty()) {
            return Optional.empty();
        }
        if (files.trustFile.isEmpty()) {
            table.fault(TRUST_KEY, "the authorities of servers, for TLS is asked for");
        }
        return Optional.of(files);
    }

    /** Reads the table of a side that is client and server at once and needs all three files. */
    public static Optional<TlsFiles> readBothSides(CheckedTable table) {
        Optional<TlsFiles> files = readServer(table);
        if (files.isPresent() && files.get().trustFile.isEmpty()) {
            table.fault(TRUST_KEY, "the authorities of the other side, for TLS is asked for");
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
