package org.mangowall.inventory.checked;

/**
 * An error in a settings or inventory file.
 *
 * @param source the name of the file
 * @param key the dotted key, or line and column when the file can't be parsed
 * @param expected what was expected there
 */
public record SettingsFault(String source, String key, String expected) {

    @Override
    public String toString() {
        return source + ": " + key + ": expected " + expected;
    }
}
