package org.mangowall.inventory.checked;

import java.util.List;
import java.util.stream.Collectors;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Reports all faults of a settings or inventory file. */
public final class SettingsException extends MangowallException {

    private static final long serialVersionUID = 1L;

    private final transient List<SettingsFault> faults;

    /** Creates an exception for at least one fault. */
    public SettingsException(FailureCode failureCode, List<SettingsFault> faults) {
        super(failureCode, describe(faults));
        this.faults = List.copyOf(faults);
    }

    private static String describe(List<SettingsFault> faults) {
        return faults.stream().map(SettingsFault::toString).collect(Collectors.joining("\n"));
    }

    /** The faults in the order in which they were found; empty after deserialization. */
    public List<SettingsFault> faults() {
        return faults == null ? List.of() : faults;
    }
}
