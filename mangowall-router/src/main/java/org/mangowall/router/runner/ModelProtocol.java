package org.mangowall.router.runner;

import org.mangowall.inventory.Service;

/** Protocol of model engines: the cost is the reported token usage, or the streamed tokens until it arrives. */
public final class ModelProtocol implements RunnerProtocol {

    private static final int STATUS_OK = 200;

    @Override
    public String pluginName() {
        return "model";
    }

    @Override
    public CostMeter meter(Service service, int status, String contentType) {
        if (contentType.startsWith("text/event-stream")) {
            return new StreamCostMeter(service, status == STATUS_OK);
        }
        return new DocumentCostMeter(service);
    }
}
