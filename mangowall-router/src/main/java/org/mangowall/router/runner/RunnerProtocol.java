package org.mangowall.router.runner;

import org.mangowall.inventory.Service;
import org.mangowall.kernel.plugin.Plugin;

/** How a kind of runner is spoken to; a plug-in named after the kind in lower case. */
public interface RunnerProtocol extends Plugin {

    /**
     * Makes the meter of an answer.
     *
     * @param status the HTTP status
     * @param contentType the content type, empty when there is none
     */
    CostMeter meter(Service service, int status, String contentType);
}
