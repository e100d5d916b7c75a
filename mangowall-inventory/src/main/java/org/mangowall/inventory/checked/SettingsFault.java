package org.mangowall.inventory.checked;

/**
 * One fault in a settings or inventory file.
 *
 * @param source the file's name
 * @param key the dotted key, or line and column when the file can't be parsed
 * @param expected what was expected at that place
 */
public record SettingsFault(String source, String key, String expected) {

    @Override
    public String toString() {
        return source + ": " + key + ": expected " + expected;
    }
}
