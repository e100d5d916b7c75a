/** The JSON documents that a router gives to operators; {@code docs/operator-protocol.md} describes the calls. */
package org.mangowall.protocol.operator;
