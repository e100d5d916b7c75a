package org.mangowall.standin.caller;

/**
 * The result of one attempt of a call.
 *
 * @param call the call
 * @param address the base URL of the attempt
 * @param verdict the classification of the result
 * @param code the failure code or the HTTP status; empty when answered
 * @param runner the runner named in the response; empty when none
 * @param firstByteNanos the time to the first byte of the response body; 0 when none arrived
 * @param totalNanos the time to the end of the attempt
 */
record AttemptResult(
        Call call, String address, Verdict verdict, String code, String runner, long firstByteNanos, long totalNanos) {}
