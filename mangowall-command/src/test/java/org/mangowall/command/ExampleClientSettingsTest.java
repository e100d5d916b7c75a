package org.mangowall.command;

import java.nio.file.Path;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.junit.jupiter.api.Assertions.assertEquals;

class ExampleClientSettingsTest {

    @ParameterizedTest
    @ValueSource(strings = {"consortium", "le-goff"})
    void clientSettingsListNineRouters(String deployment) {
        Path file = Path.of("..", "examples", deployment, "mangowall.toml");
        assertEquals(9, ClientSettingsReader.readFile(file).routers().size());
    }
}
