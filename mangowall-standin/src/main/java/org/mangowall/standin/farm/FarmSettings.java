package org.mangowall.standin.farm;

import org.mangowall.standin.engine.ModelEngineSettings;
import org.mangowall.standin.plain.PlainServiceSettings;

/**
 * How the runners of a farm behave; addresses and slots come from the inventory.
 *
 * @param model the model engines
 * @param plain the plain services
 */
public record FarmSettings(ModelEngineSettings model, PlainServiceSettings plain) {

    /** The usual behaviour. */
    public static FarmSettings withDefaults() {
        return new FarmSettings(ModelEngineSettings.withDefaults(), PlainServiceSettings.withDefaults());
    }
}
