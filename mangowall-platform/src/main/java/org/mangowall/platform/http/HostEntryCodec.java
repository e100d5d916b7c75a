package org.mangowall.platform.http;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.platform.HostEntry;

/** Converts entries of the host list to and from JSON. */
final class HostEntryCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();

    private HostEntryCodec() {}

    static byte[] encode(HostEntry entry) {
        ObjectNode node = MAPPER.createObjectNode();
        node.put("name", entry.name());
        node.put("zone", entry.zone());
        node.put("host", entry.host());
        node.put("caller_port", entry.callerPort());
        node.put("peer_port", entry.peerPort());
        node.put("leaving", entry.leaving());
        try {
            return MAPPER.writeValueAsBytes(node);
        } catch (JsonProcessingException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "a host entry can't be written as JSON", failure);
        }
    }

    static List<HostEntry> decodeList(byte[] json) {
        try {
            List<HostEntry> entries = new ArrayList<>();
            for (JsonNode node : MAPPER.readTree(json)) {
                entries.add(decode(node));
            }
            return List.copyOf(entries);
        } catch (IOException failure) {
            throw new MangowallException(
                    FailureCode.PLATFORM_UNAVAILABLE, "the platform's host list is not JSON", failure);
        }
    }

    private static HostEntry decode(JsonNode node) {
        return new HostEntry(
                node.path("name").asText(),
                node.path("zone").asText(),
                node.path("host").asText(),
                node.path("caller_port").asInt(),
                node.path("peer_port").asInt(),
                node.path("leaving").asBoolean());
    }
}
