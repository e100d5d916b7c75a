/** The JSON documents of the operator API, which {@code docs/operator-protocol.md} describes. */
package org.mangowall.protocol.operator;
