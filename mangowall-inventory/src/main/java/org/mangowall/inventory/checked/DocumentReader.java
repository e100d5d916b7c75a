package org.mangowall.inventory.checked;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.json.JsonMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.fasterxml.jackson.dataformat.toml.TomlMapper;
import org.mangowall.kernel.failure.FailureCode;

/** Parses TOML or JSON into a tree and records syntax errors as faults. */
final class DocumentReader {

    private static final ObjectMapper TOML = TomlMapper.builder().build();
    private static final ObjectMapper JSON = JsonMapper.builder()
            .enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS)
            .enable(DeserializationFeature.FAIL_ON_READING_DUP_TREE_KEY)
            .build();

    private DocumentReader() {}

    static String readFile(Path file) {
        FaultCollector faults = new FaultCollector(file.toString());
        try {
            return Files.readString(file, StandardCharsets.UTF_8);
        } catch (IOException failure) {
            faults.add("(file)", "a readable file in UTF-8");
        }
        faults.throwIfAny(FailureCode.SETTINGS_INVALID);
        return "";
    }

    static ObjectNode parseToml(FaultCollector faults, String text) {
        return parse(TOML, "TOML", faults, text);
    }

    static ObjectNode parseJson(FaultCollector faults, byte[] content) {
        return parse(JSON, "a JSON object", faults, new String(content, StandardCharsets.UTF_8));
    }

    private static ObjectNode parse(ObjectMapper mapper, String format, FaultCollector faults, String text) {
        try {
            JsonNode tree = mapper.readTree(text);
            if (tree instanceof ObjectNode object) {
                return object;
            }
            faults.add("(file)", format);
        } catch (JsonProcessingException failure) {
            faults.add(location(failure), format + " (" + failure.getOriginalMessage() + ")");
        }
        return mapper.createObjectNode();
    }

    private static String location(JsonProcessingException failure) {
        if (failure.getLocation() == null) {
            return "(file)";
        }
        return "line " + failure.getLocation().getLineNr() + ", column "
                + failure.getLocation().getColumnNr();
    }
}
