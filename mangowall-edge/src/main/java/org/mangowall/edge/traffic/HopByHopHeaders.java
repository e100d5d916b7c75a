package org.mangowall.edge.traffic;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Removes hop-by-hop headers (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {

    private static final Set<String> HOP_BY_HOP_NAMES = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade");

    private HopByHopHeaders() {}

    /**
     * Removes the hop-by-hop headers, and those listed in the {@code Connection} header.
     *
     * @param kept lower-case names of headers to keep even if {@code Connection} lists them
     */
    public static void remove(HttpHeaders headers, Set<String> kept) {
        Set<String> listed = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                listed.add(name.strip());
            }
        }
        for (String name : listed) {
            if (!name.isEmpty() && !kept.contains(name.toLowerCase(Locale.ROOT))) {
                headers.remove(name);
            }
        }
        HOP_BY_HOP_NAMES.forEach(headers::remove);
    }
}
