package org.mangowall.edge.decision;

/**
 * Where a stream began; it may go on only at runners of the same service and software version.
 *
 * @param request identifier of the caller's request that began the stream
 * @param service the service
 * @param softwareVersion the version of the runner's software
 */
public record StreamOrigin(String request, String service, String softwareVersion) {}
