package org.mangowall.edge.traffic;

import java.util.Locale;
import java.util.Set;
import java.util.TreeSet;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;

/** Removes the headers that concern one connection only (RFC 9110, section 7.6.1). */
public final class HopByHopHeaders {

    private static final Set<String> NAMES = Set.of(
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
     * Removes them, and those that {@code Connection} names.
     *
     * @param kept names, in lower case, that stay although {@code Connection} names them
     */
    public static void remove(HttpHeaders headers, Set<String> kept) {
        Set<String> named = new TreeSet<>(String.CASE_INSENSITIVE_ORDER);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                named.add(name.strip());
            }
        }
        for (String name : named) {
            if (!name.isEmpty() && !kept.contains(name.toLowerCase(Locale.ROOT))) {
                headers.remove(name);
            }
        }
        NAMES.forEach(headers::remove);
    }
}
