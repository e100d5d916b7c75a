package org.mangowall.edge.peer;

/**
 * A report of one host to all others; relays forward the state without decoding it.
 *
 * @param host the name of the host
 * @param incarnation identifies the start of its process
 * @param sequence numbers the reports of that incarnation, so that duplicates from several relays are dropped
 * @param state the encoded {@link HostState}
 */
record HostReport(String host, long incarnation, long sequence, byte[] state) {}
