package org.mangowall.standin.farm;

import org.mangowall.standin.engine.ModelEngineSettings;
import org.mangowall.standin.plain.PlainServiceSettings;

/**
 * Settings of the runners of a farm; addresses and slots come from the inventory.
 *
 * @param model the settings of the model engines
 * @param plain the settings of the plain services
 */
public record FarmSettings(ModelEngineSettings model, PlainServiceSettings plain) {

    /** Returns the default settings. */
    public static FarmSettings withDefaults() {
        return new FarmSettings(ModelEngineSettings.withDefaults(), PlainServiceSettings.withDefaults());
    }
}
