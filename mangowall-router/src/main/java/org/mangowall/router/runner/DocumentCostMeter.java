package org.mangowall.router.runner;

import java.io.IOException;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonParser;
import com.fasterxml.jackson.core.JsonToken;
import com.fasterxml.jackson.core.StreamReadConstraints;
import com.fasterxml.jackson.core.async.ByteArrayFeeder;
import com.fasterxml.jackson.core.async.NonBlockingInputFeeder;
import org.mangowall.inventory.Service;
import org.mangowall.kernel.log.ComponentLog;

/** Computes the cost of a JSON answer from its usage object, without buffering the answer. */
final class DocumentCostMeter implements CostMeter {

    private static final ComponentLog LOG = ComponentLog.of("runner");
    /** The parser keeps the string that it reads, also one that nobody asks for. */
    private static final int MAXIMUM_STRING_LENGTH = 1 << 20;

    private static final JsonFactory FACTORY = JsonFactory.builder()
            .streamReadConstraints(StreamReadConstraints.builder()
                    .maxStringLength(MAXIMUM_STRING_LENGTH)
                    .build())
            .build();
    private static final int USAGE_OBJECT_DEPTH = 2;

    private final Service service;
    private final boolean isDelimited;
    private final JsonParser parser;
    private boolean readable = true;
    private boolean insideUsage;
    private boolean hasBegun;
    private int depth;
    private String fieldName = "";
    private long promptTokens;
    private long outputTokens;

    DocumentCostMeter(Service service, boolean isDelimited) {
        this.service = service;
        this.isDelimited = isDelimited;
        this.parser = newParser();
    }

    private static JsonParser newParser() {
        try {
            return FACTORY.createNonBlockingByteArrayParser();
        } catch (IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
    }

    @Override
    public void accept(byte[] bytes) {
        if (!readable) {
            return;
        }
        try {
            NonBlockingInputFeeder feeder = parser.getNonBlockingInputFeeder();
            ((ByteArrayFeeder) feeder).feedInput(bytes, 0, bytes.length);
            JsonToken token = parser.nextToken();
            while (token != null && token != JsonToken.NOT_AVAILABLE) {
                handleToken(token);
                token = parser.nextToken();
            }
        } catch (IOException failure) {
            LOG.debug("the cost of an answer of service %s is not known: %s", service.name(), failure);
            stopReading();
        }
    }

    private void stopReading() {
        readable = false;
        try {
            parser.close();
        } catch (IOException failure) {
            LOG.debug("can't close the parser of an answer: %s", failure);
        }
    }

    private void handleToken(JsonToken token) throws IOException {
        hasBegun = true;
        switch (token) {
            case START_OBJECT, START_ARRAY -> {
                depth++;
                insideUsage |=
                        depth == USAGE_OBJECT_DEPTH && token == JsonToken.START_OBJECT && fieldName.equals("usage");
            }
            case END_OBJECT, END_ARRAY -> {
                insideUsage &= depth != USAGE_OBJECT_DEPTH;
                depth--;
            }
            case FIELD_NAME -> fieldName = parser.currentName();
            case VALUE_NUMBER_INT -> handleNumber();
            default -> {
                // Other tokens do not affect the cost.
            }
        }
    }

    private void handleNumber() throws IOException {
        if (!insideUsage || depth != USAGE_OBJECT_DEPTH) {
            return;
        }
        if (fieldName.equals("prompt_tokens")) {
            promptTokens = Math.max(0, parser.getLongValue());
        } else if (fieldName.equals("completion_tokens")) {
            outputTokens = Math.max(0, parser.getLongValue());
        }
    }

    @Override
    public double cost() {
        return new TokenUsage(promptTokens, outputTokens).cost(service);
    }

    /** Without a length or chunks, only the document itself shows whether its end was received. */
    @Override
    public boolean isComplete() {
        return isDelimited || !readable || hasBegun && depth == 0;
    }
}
