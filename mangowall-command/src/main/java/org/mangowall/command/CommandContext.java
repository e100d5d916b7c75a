package org.mangowall.command;

import java.time.Clock;

import org.mangowall.command.client.OperatorClient;

/**
 * What a subcommand works with.
 *
 * @param client the calls to routers; connections are opened only when they are used
 * @param clock the time by which waits end
 * @param pause waits a moment between two looks at the fleet
 */
public record CommandContext(OperatorClient client, Clock clock, Runnable pause) {}
