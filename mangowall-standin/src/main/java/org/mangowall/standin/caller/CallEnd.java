package org.mangowall.standin.caller;

/**
 * How a try of a call ended.
 *
 * @param call the call
 * @param address where it was sent
 * @param verdict what the caller concludes
 * @param code the failure's code, or the HTTP status; empty when answered
 * @param runner the runner that the answer names; empty when none
 * @param firstByteNanos the time to the first byte of the answer's body; 0 when none came
 * @param wholeNanos the time to the end
 */
record CallEnd(
        Call call, String address, Verdict verdict, String code, String runner, long firstByteNanos, long wholeNanos) {}
