package org.mangowall.command;

import java.time.Clock;

import org.mangowall.command.client.OperatorClient;

/**
 * The services that a subcommand uses.
 *
 * @param client the client of the routers, which opens connections at the first call
 * @param clock the clock that limits wait times
 * @param pause waits between attempts and between polls of the routers
 */
public record CommandContext(OperatorClient client, Clock clock, Runnable pause) {}
