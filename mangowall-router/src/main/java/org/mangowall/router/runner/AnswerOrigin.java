package org.mangowall.router.runner;

import org.mangowall.kernel.name.RequestIdentifier;

/** Where the answer of a request comes from: a home router, or a runner of this router. */
public interface AnswerOrigin {

    /** Asks to hold the answer back, or to go on with it. */
    void hold(RequestIdentifier request, boolean held);
}
