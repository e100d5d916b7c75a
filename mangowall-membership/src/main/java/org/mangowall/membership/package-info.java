/** Fleet membership: a gossip protocol of probes, suspicion, refutation and piggybacked member updates. */
package org.mangowall.membership;
