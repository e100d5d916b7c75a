package org.mangowall.edge.peer;

/**
 * What a host tells all others, as it travels through relays, which don't look into it.
 *
 * @param host the name of the host
 * @param incarnation the start of its process
 * @param sequence counts the reports of that start; one that comes over two ways is taken once
 * @param state the encoded {@link HostState}
 */
record HostReport(String host, long incarnation, long sequence, byte[] state) {}
