package org.mangowall.edge.model;

/**
 * A service to which a part of a route's requests goes.
 *
 * @param service the name of the service
 * @param weight its share against the other weights of the route
 */
public record WeightedService(String service, double weight) {}
