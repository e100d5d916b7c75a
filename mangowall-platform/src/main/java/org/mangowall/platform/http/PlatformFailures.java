package org.mangowall.platform.http;

import java.net.ConnectException;
import java.util.concurrent.CompletionException;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Maps failed calls and HTTP statuses to failure codes, which say whether a write may have taken effect. */
final class PlatformFailures {

    private static final int CONFLICT = 409;
    private static final int TOO_LARGE = 413;
    private static final int RATE_LIMITED = 429;
    private static final int UNAVAILABLE = 503;
    private static final int FIRST_SERVER_ERROR = 500;

    private PlatformFailures() {}

    static CompletionException ofRead(Throwable failure) {
        return newFailure(FailureCode.PLATFORM_UNAVAILABLE, "the platform did not answer a read", failure);
    }

    static CompletionException ofWrite(Throwable failure) {
        if (isConnectFailure(failure)) {
            return newFailure(FailureCode.PLATFORM_UNAVAILABLE, "the platform took no connection", failure);
        }
        return newFailure(FailureCode.PLATFORM_ANSWER_LOST, "the platform did not answer a write", failure);
    }

    static CompletionException ofReadStatus(int status) {
        FailureCode code =
                status == RATE_LIMITED ? FailureCode.PLATFORM_RATE_LIMITED : FailureCode.PLATFORM_UNAVAILABLE;
        return newFailure(code, "the platform answered a read with status " + status, null);
    }

    static CompletionException ofWriteStatus(int status) {
        return newFailure(writeCode(status), "the platform answered a write with status " + status, null);
    }

    private static FailureCode writeCode(int status) {
        return switch (status) {
            case CONFLICT -> FailureCode.PLATFORM_CONFLICT;
            case TOO_LARGE -> FailureCode.PLATFORM_OBJECT_TOO_LARGE;
            case RATE_LIMITED -> FailureCode.PLATFORM_RATE_LIMITED;
            case UNAVAILABLE -> FailureCode.PLATFORM_UNAVAILABLE;
            default ->
                status >= FIRST_SERVER_ERROR ? FailureCode.PLATFORM_ANSWER_LOST : FailureCode.PLATFORM_UNAVAILABLE;
        };
    }

    private static boolean isConnectFailure(Throwable failure) {
        Throwable cause = failure;
        while (cause != null) {
            if (cause instanceof ConnectException) {
                return true;
            }
            cause = cause.getCause();
        }
        return false;
    }

    private static CompletionException newFailure(FailureCode code, String message, Throwable cause) {
        return new CompletionException(new MangowallException(code, message, cause));
    }
}
