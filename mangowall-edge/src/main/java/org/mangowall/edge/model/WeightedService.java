package org.mangowall.edge.model;

/**
 * A service that receives a share of a route's requests.
 *
 * @param service the name of the service
 * @param weight weight relative to the route's other services
 */
public record WeightedService(String service, double weight) {}
