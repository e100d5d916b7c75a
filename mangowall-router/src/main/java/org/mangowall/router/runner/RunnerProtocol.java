package org.mangowall.router.runner;

import org.mangowall.inventory.Service;
import org.mangowall.kernel.plugin.Plugin;

/** Protocol of a kind of service; a plug-in named after the {@code ServiceKind} in lower case. */
public interface RunnerProtocol extends Plugin {

    /** Creates the cost meter of an answer. */
    CostMeter meter(Service service, AnswerHead head);
}
