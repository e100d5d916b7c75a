package org.mangowall.protocol;

/**
 * A message between two routers with the epoch of its connection.
 *
 * @param connectionEpoch the number that the router that opened the connection chose in its first frame; a frame with
 *     another number belongs to an older connection and is dropped
 * @param message the message
 */
public record PeerFrame(long connectionEpoch, PeerMessage message) {}
