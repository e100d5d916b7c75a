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
    public CostMeter meter(Service service, AnswerHead head) {
        if (head.isEventStream()) {
            return new StreamCostMeter(service, head.status() == STATUS_OK);
        }
        return new DocumentCostMeter(service, head.isDelimited());
    }
}
