package org.mangowall.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A host as the protocol's JSON writes it. */
record HostDocument(
        String name,
        String zone,
        String host,
        @JsonProperty("caller_port") int callerPort,
        @JsonProperty("peer_port") int peerPort,
        boolean leaving) {}
