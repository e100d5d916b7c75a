package org.mangowall.standin.http;

/** Handles HTTP exchanges; called only on the event loop of the server. */
@FunctionalInterface
public interface ExchangeHandler {

    /** Handles an exchange; the response may be sent later on the same event loop. */
    void handle(HttpExchange exchange);
}
