package org.mangowall.protocol;

import org.mangowall.kernel.failure.FailureCode;
import org.mangowall.kernel.failure.MangowallException;

/** Thrown for a frame that can't be encoded or decoded; its code is {@link FailureCode#FRAME_INVALID}. */
public final class FrameException extends MangowallException {

    private static final long serialVersionUID = 1L;

    FrameException(String detail) {
        super(FailureCode.FRAME_INVALID, detail);
    }

    FrameException(String detail, Throwable cause) {
        super(FailureCode.FRAME_INVALID, detail, cause);
    }
}
