package org.mangowall.kernel.failure;

/** The base class of this project's unchecked exceptions; each has a {@link FailureCode}. */
public class MangowallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final FailureCode failureCode;

    /** Creates an exception with a human-readable detail message. */
    public MangowallException(FailureCode failureCode, String detail) {
        super(detail);
        this.failureCode = failureCode;
    }

    /** Creates an exception with a human-readable detail message and a cause. */
    public MangowallException(FailureCode failureCode, String detail, Throwable cause) {
        super(detail, cause);
        this.failureCode = failureCode;
    }

    /** The code of the failure. */
    public FailureCode failureCode() {
        return failureCode;
    }
}
