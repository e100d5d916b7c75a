package org.mangowall.standin.command;

import com.beust.jcommander.Parameters;
import org.mangowall.inventory.ServiceKind;

/** Runs the model engines of an inventory. */
@Parameters(commandDescription = "Run a model engine for each runner of the model services of an inventory")
final class EngineCommand extends RunnersCommand {

    EngineCommand() {
        super(ServiceKind.MODEL);
    }
}
