/** The peer protocol between hosts, which exchanges load, host state and objects of the platform's store. */
package org.mangowall.edge.peer;
