package org.mangowall.kernel.name;

import java.util.regex.Pattern;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/**
 * The syntax of all names: 1 to 63 lower-case letters, digits, dots, dashes and underscores, starting with a letter or
 * digit.
 */
final class NameSyntax {

    private static final Pattern SYNTAX = Pattern.compile("[a-z0-9][a-z0-9._-]{0,62}");

    private NameSyntax() {}

    static void check(String kind, String value) {
        if (value == null || !SYNTAX.matcher(value).matches()) {
            throw new MangowallException(
                    FailureCode.INVALID_NAME,
                    kind + " name must be 1 to 63 of a-z, 0-9, '.', '-', '_' and start with a letter or digit");
        }
    }
}
