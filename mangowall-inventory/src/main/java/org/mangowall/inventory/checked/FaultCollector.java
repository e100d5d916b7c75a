package org.mangowall.inventory.checked;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.failure.FailureCode;

/** Collects the faults of one file; not thread-safe. */
final class FaultCollector {

    private final String source;
    private final List<SettingsFault> faults = new ArrayList<>();

    FaultCollector(String source) {
        this.source = source;
    }

    void add(String key, String expected) {
        faults.add(new SettingsFault(source, key, expected));
    }

    void throwIfAny(FailureCode failureCode) {
        if (!faults.isEmpty()) {
            throw new SettingsException(failureCode, faults);
        }
    }

    String source() {
        return source;
    }
}
