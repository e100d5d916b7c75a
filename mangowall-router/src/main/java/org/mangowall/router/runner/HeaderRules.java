package org.mangowall.router.runner;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashSet;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import org.mangowall.protocol.HeaderField;

/** Selects the end-to-end header fields that a proxy forwards. */
public final class HeaderRules {

    private static final Set<String> HOP_BY_HOP = Set.of(
            "connection",
            "keep-alive",
            "proxy-connection",
            "proxy-authenticate",
            "proxy-authorization",
            "te",
            "trailer",
            "transfer-encoding",
            "upgrade",
            "expect",
            "host");

    private HeaderRules() {}

    /** Returns the header fields that are neither hop-by-hop nor in {@code removed}, with names in lower case. */
    public static List<HeaderField> endToEnd(HttpHeaders headers, Collection<String> removed) {
        Set<String> removedNames = new HashSet<>(removed);
        for (String value : headers.getAll(HttpHeaderNames.CONNECTION)) {
            for (String name : value.split(",")) {
                removedNames.add(name.strip().toLowerCase(Locale.ROOT));
            }
        }
        List<HeaderField> forwarded = new ArrayList<>(headers.size());
        for (Map.Entry<String, String> header : headers) {
            String name = header.getKey().toLowerCase(Locale.ROOT);
            if (!HOP_BY_HOP.contains(name) && !removedNames.contains(name)) {
                forwarded.add(new HeaderField(name, header.getValue()));
            }
        }
        return forwarded;
    }
}
