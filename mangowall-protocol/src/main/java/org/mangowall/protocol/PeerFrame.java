package org.mangowall.protocol;

/**
 * One frame between two routers.
 *
 * @param connectionEpoch the number that the opener of the connection gave it in its first frame; a frame with another
 *     one belongs to an older connection and is dropped
 * @param message the content
 */
public record PeerFrame(long connectionEpoch, PeerMessage message) {}
