package org.mangowall.router.runner;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.mangowall.inventory.Service;

/** Computes the cost of a stream of server-sent events: one output token per event until the usage arrives. */
final class StreamCostMeter implements CostMeter {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final int MAXIMUM_LINE_BYTES = 64 * 1024;
    private static final String DATA_PREFIX = "data:";
    private static final String END_OF_STREAM_DATA = "[DONE]";
    private static final String USAGE_FIELD = "\"usage\"";

    private final Service service;
    private final boolean expectsEndOfStream;
    private final EventBoundary boundary = new EventBoundary();
    private final ByteArrayOutputStream line = new ByteArrayOutputStream();
    private long eventCount;
    private double usageCost;
    private boolean endOfStreamSeen;

    StreamCostMeter(Service service, boolean expectsEndOfStream) {
        this.service = service;
        this.expectsEndOfStream = expectsEndOfStream;
    }

    @Override
    public void accept(byte[] bytes) {
        boundary.accept(bytes);
        for (byte next : bytes) {
            if (next == '\n') {
                endLine();
            } else if (line.size() < MAXIMUM_LINE_BYTES) {
                line.write(next);
            }
        }
    }

    private void endLine() {
        String text = line.toString(StandardCharsets.UTF_8);
        line.reset();
        if (!text.startsWith(DATA_PREFIX)) {
            return;
        }
        String data = text.substring(DATA_PREFIX.length()).strip();
        if (data.equals(END_OF_STREAM_DATA)) {
            endOfStreamSeen = true;
            return;
        }
        eventCount++;
        if (data.contains(USAGE_FIELD)) {
            readUsage(data);
        }
    }

    private void readUsage(String data) {
        try {
            JsonNode event = MAPPER.readTree(data);
            usageCost = Math.max(usageCost, TokenUsage.of(event.get("usage")).cost(service));
        } catch (IOException failure) {
            usageCost = Math.max(usageCost, 0);
        }
    }

    @Override
    public double cost() {
        return usageCost > 0 ? usageCost : eventCount * service.outputTokenCost();
    }

    @Override
    public boolean isComplete() {
        return endOfStreamSeen || !expectsEndOfStream && !boundary.isInsideEvent();
    }
}
