package org.mangowall.standin.platform;

import com.fasterxml.jackson.annotation.JsonProperty;

/** A host in the JSON format of the platform protocol. */
record HostDocument(
        String name,
        String zone,
        String host,
        @JsonProperty("caller_port") int callerPort,
        @JsonProperty("peer_port") int peerPort,
        boolean leaving) {}
