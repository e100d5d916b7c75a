package org.mangowall.inventory.checked;

import java.util.ArrayList;
import java.util.List;

import org.mangowall.kernel.failure.FailureCode;

/** The faults found so far in one file; not safe for use by several threads. */
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
