package org.mangowall.claims;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;
import org.mangowall.kernel.name.RequestIdentifier;

/** Encodes and decodes a partition's object: a JSON array with one array of five fields for each claim. */
final class PartitionCodec {

    private static final ObjectMapper MAPPER = new ObjectMapper();
    private static final JsonFactory FACTORY = MAPPER.getFactory();
    private static final int FIELDS_PER_CLAIM = 5;

    private PartitionCodec() {}

    static byte[] encode(Collection<ClaimRecord> records) {
        ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        try (JsonGenerator generator = FACTORY.createGenerator(bytes)) {
            generator.writeStartArray();
            for (ClaimRecord record : records) {
                write(generator, record);
            }
            generator.writeEndArray();
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "claim records could not be encoded as JSON", failure);
        }
        return bytes.toByteArray();
    }

    private static void write(JsonGenerator generator, ClaimRecord record) throws IOException {
        generator.writeStartArray();
        generator.writeString(record.keyDigest());
        generator.writeString(record.requestDigest());
        generator.writeString(record.request().toString());
        generator.writeNumber(record.state().ordinal());
        generator.writeNumber(record.expiresAtMillis());
        generator.writeEndArray();
    }

    /**
     * Decodes the claims of a partition, by key digest.
     *
     * @throws MangowallException with {@link FailureCode#INTERNAL} if the content is not valid
     */
    static Map<String, ClaimRecord> decode(byte[] content) {
        Map<String, ClaimRecord> records = new LinkedHashMap<>();
        try {
            for (JsonNode fields : MAPPER.readTree(content)) {
                ClaimRecord record = read(fields);
                records.put(record.keyDigest(), record);
            }
        } catch (IOException failure) {
            throw new MangowallException(FailureCode.INTERNAL, "claim partition object is not valid JSON", failure);
        }
        return records;
    }

    private static ClaimRecord read(JsonNode fields) {
        int state = fields.path(3).asInt(-1);
        if (fields.size() != FIELDS_PER_CLAIM || state < 0 || state >= ClaimState.values().length) {
            throw new MangowallException(
                    FailureCode.INTERNAL, "claim partition object contains an invalid claim record");
        }
        return new ClaimRecord(
                fields.get(0).asText(),
                fields.get(1).asText(),
                RequestIdentifier.parse(fields.get(2).asText()),
                ClaimState.values()[state],
                fields.get(4).asLong());
    }
}
