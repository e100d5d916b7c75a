package org.mangowall.standin.command;

import com.beust.jcommander.Parameters;
import org.mangowall.inventory.ServiceKind;

/** Runs the plain services of an inventory. */
@Parameters(commandDescription = "Run a plain service for each runner of the plain services of an inventory")
final class PlainCommand extends RunnersCommand {

    PlainCommand() {
        super(ServiceKind.PLAIN);
    }
}
