package org.mangowall.kernel.failure;

/** The root of all unchecked exceptions of this project; it always carries a {@link FailureCode}. */
public class MangowallException extends RuntimeException {

    private static final long serialVersionUID = 1L;

    private final FailureCode failureCode;

    /** Creates an exception whose detail is a sentence for people. */
    public MangowallException(FailureCode failureCode, String detail) {
        super(detail);
        this.failureCode = failureCode;
    }

    /** Creates an exception that keeps its cause. */
    public MangowallException(FailureCode failureCode, String detail, Throwable cause) {
        super(detail, cause);
        this.failureCode = failureCode;
    }

    /** The stable code of the failure. */
    public FailureCode failureCode() {
        return failureCode;
    }
}
